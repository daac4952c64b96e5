#include "cli/cli.h"
#include "cli/rpt.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define PATH_BYTES 4096

/* Draws the plots from the tables in the same directory. */
static const char gnuplot_script[] =
	"set terminal svg size 900,300 dynamic\n"
	"set datafile separator '\\t'\n"
	"set xlabel 'seconds since the first line'\n"
	"set key autotitle columnhead outside\n"
	"set grid\n"
	"set output 'latency.svg'\n"
	"set title 'Latency of successful statements by route, ms'\n"
	"set logscale y\n"
	"plot for [i=2:7] 'latency.tsv' using 1:i with lines\n"
	"unset logscale y\n"
	"set yrange [0:*]\n"
	"set output 'refusals.svg'\n"
	"set title 'Refused statements by reason'\n"
	"if (REASONS > 0) { plot for [i=2:REASONS+1] 'refusals.tsv' using 1:i with lines } "
	"else { plot 0 title 'none' }\n"
	"set output 'reads.svg'\n"
	"set title 'Reads by role of the endpoint, and failed statements'\n"
	"plot for [i=2:4] 'reads.tsv' using 1:i with lines\n"
	"set output 'events.svg'\n"
	"set title 'Promotions and other events of the fleet, log lines'\n"
	"plot for [i=2:9] 'events.tsv' using 1:i with impulses\n";

static FILE *create_file(const struct cli *cli, const char *name)
{
	char path[PATH_BYTES];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", cli->positional[1], name);
	file = fopen(path, "w");
	if (!file)
		fprintf(stderr, "bulrushcleat: cannot write %s: %s\n", path, strerror(errno));
	return file;
}

static bool read_log(const char *path, struct rpt_series *series)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	size_t size = 0;
	char *line = NULL;

	if (!file) {
		fprintf(stderr, "bulrushcleat: cannot read %s: %s\n", path, strerror(errno));
		return false;
	}
	while (getline(&line, &size, file) >= 0)
		rpt_add_line(series, line);
	free(line);
	if (file != stdin)
		fclose(file);
	return true;
}

static void write_page(const struct rpt_totals *totals, FILE *out)
{
	uint64_t reads = totals->leader_reads + totals->replica_reads;

	fprintf(out,
		"<!doctype html>\n<meta charset=utf-8>\n<title>bulrushcleat report</title>\n"
		"<h1>From %s, %u s</h1>\n<table>\n",
		totals->from, totals->seconds);
	fprintf(out, "<tr><td>statements<td>%llu\n", (unsigned long long)totals->statements);
	fprintf(out, "<tr><td>failed statements<td>%llu\n", (unsigned long long)totals->failed);
	fprintf(out, "<tr><td>refusals<td>%llu\n", (unsigned long long)totals->refused);
	fprintf(out, "<tr><td>reads on replicas<td>%.1f %%\n",
		reads ? 100.0 * (double)totals->replica_reads / (double)reads : 0.0);
	fprintf(out, "<tr><td>promotions ordered<td>%llu\n",
		(unsigned long long)totals->promotions);
	fprintf(out, "<tr><td>log lines, skipped lines<td>%llu, %llu\n</table>\n",
		(unsigned long long)totals->lines, (unsigned long long)totals->skipped);
	fputs("<p><img src=latency.svg><p><img src=refusals.svg><p><img src=reads.svg>"
	      "<p><img src=events.svg>\n",
	      out);
}

static bool write_tables(const struct cli *cli, struct rpt_series *series)
{
	struct rpt_totals totals = rpt_totals_get(series);
	FILE *files[] = {create_file(cli, "latency.tsv"), create_file(cli, "refusals.tsv"),
			 create_file(cli, "reads.tsv"),	  create_file(cli, "events.tsv"),
			 create_file(cli, "report.gp"),	  create_file(cli, "index.html")};
	const size_t count = sizeof(files) / sizeof(files[0]);
	bool written = true;
	size_t i;

	for (i = 0; i < count; i++)
		written &= files[i] != NULL;
	if (written) {
		rpt_write_latency(series, files[0]);
		rpt_write_refusals(series, files[1]);
		rpt_write_reads(series, files[2]);
		rpt_write_events(series, files[3]);
		fprintf(files[4], "REASONS = %u\n%s", rpt_reason_count(series), gnuplot_script);
		write_page(&totals, files[5]);
	}
	for (i = 0; i < count; i++)
		if (files[i])
			written &= fclose(files[i]) == 0;
	return written;
}

/* Runs gnuplot on the tables; false if it is missing or fails. */
static bool run_gnuplot(const struct cli *cli)
{
	FILE *gnuplot = popen("gnuplot 2>/dev/null", "w");

	if (!gnuplot)
		return false;
	fprintf(gnuplot, "cd \"%s\"\nload \"report.gp\"\n", cli->positional[1]);
	return pclose(gnuplot) == 0;
}

/* report: writes tables, plots and an HTML page from the logs of proxies. */
enum cli_exit cli_report(struct cli *cli)
{
	struct rpt_series *series = rpt_create();
	enum cli_exit code = CLI_OK;

	if (!series)
		return CLI_FAILURE;
	if (!read_log(cli->positional[0], series)) {
		code = CLI_BAD_INPUT;
	} else if (rpt_totals_get(series).lines == rpt_totals_get(series).skipped) {
		fprintf(stderr, "bulrushcleat: %s has no log lines\n", cli->positional[0]);
		code = CLI_BAD_INPUT;
	} else if (mkdir(cli->positional[1], 0777) != 0 && errno != EEXIST) {
		fprintf(stderr, "bulrushcleat: cannot create %s: %s\n", cli->positional[1],
			strerror(errno));
		code = CLI_FAILURE;
	} else if (!write_tables(cli, series)) {
		code = CLI_FAILURE;
	} else if (strpbrk(cli->positional[1], "\"\n\\") || !run_gnuplot(cli)) {
		fprintf(stderr,
			"bulrushcleat: the tables are in %s; without plots, since gnuplot is "
			"missing or failed (Debian package gnuplot-nox)\n",
			cli->positional[1]);
	}
	rpt_destroy(series);
	return code;
}
