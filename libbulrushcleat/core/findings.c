#include "core/core.h"

#include <apr_pools.h>
#include <apr_strings.h>
#include <apr_tables.h>
#include <stdio.h>
#include <stdlib.h>

struct finding {
	const char *file;
	uint32_t line;
	uint32_t column;
	const char *value;
	const char *message;
};

struct bc_findings {
	apr_pool_t *pool;
	apr_array_header_t *list;
};

/* Creates an empty list of findings; NULL when out of memory. */
struct bc_findings *bc_findings_create(void)
{
	struct bc_findings *findings;
	apr_pool_t *pool;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	findings = apr_palloc(pool, sizeof(*findings));
	findings->pool = pool;
	findings->list = apr_array_make(pool, 8, sizeof(struct finding));
	return findings;
}

/* Frees the findings. NULL is allowed. */
void bc_findings_destroy(struct bc_findings *findings)
{
	if (findings)
		apr_pool_destroy(findings->pool);
}

/* Adds a finding. Line and column count from 1 and are 0 if unknown. The value may be NULL. */
void bc_findings_add(struct bc_findings *findings, const char *file, uint32_t line, uint32_t column,
		     const char *value, const char *format, ...)
{
	struct finding *finding = apr_array_push(findings->list);
	va_list args;

	va_start(args, format);
	finding->message = apr_pvsprintf(findings->pool, format, args);
	va_end(args);
	finding->file = apr_pstrdup(findings->pool, file);
	finding->line = line;
	finding->column = column;
	finding->value = value ? apr_pstrdup(findings->pool, value) : "";
}

/* The number of findings. */
size_t bc_findings_count(const struct bc_findings *findings)
{
	return (size_t)findings->list->nelts;
}

/* One line per finding. To be freed with free(). */
char *bc_findings_text(const struct bc_findings *findings)
{
	char *text = NULL;
	size_t length = 0;
	FILE *out = open_memstream(&text, &length);
	int i;

	if (!out)
		return NULL;
	for (i = 0; i < findings->list->nelts; i++) {
		const struct finding *f = &APR_ARRAY_IDX(findings->list, i, struct finding);

		fprintf(out, "%s:%u:%u: \"%s\": %s\n", f->file, f->line, f->column, f->value,
			f->message);
	}
	fclose(out);
	return text;
}

/* A JSON array with one object per finding; a new reference. */
json_t *bc_findings_json(const struct bc_findings *findings)
{
	json_t *array = json_array();
	int i;

	for (i = 0; i < findings->list->nelts; i++) {
		const struct finding *f = &APR_ARRAY_IDX(findings->list, i, struct finding);

		json_array_append_new(array,
				      json_pack("{s:s,s:i,s:i,s:s,s:s}", "file", f->file, "line",
						(int)f->line, "column", (int)f->column, "value",
						f->value, "message", f->message));
	}
	return array;
}
