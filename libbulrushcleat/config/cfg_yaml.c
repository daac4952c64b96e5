#include "config/cfg_yaml.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The deepest valid document, a list of mappings that hold a list, has 4 levels. */
#define DEPTH_MAX 8
#define SCALAR_MAX_BYTES 1024
#define EXCERPT_BYTES 64
/* A file with more findings is usually not a configuration file at all. */
#define FINDINGS_MAX 1000

struct cfg_doc {
	const char *file;
	const char *text;
	size_t bytes;
	struct bc_findings *findings;
	yaml_document_t document;
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

/* Copies text for a finding: without control characters, truncated between UTF-8 characters. */
static void copy_printable(char out[EXCERPT_BYTES], const char *text, size_t bytes)
{
	size_t length = bytes < EXCERPT_BYTES - 1 ? bytes : EXCERPT_BYTES - 1;
	size_t i;

	while (length > 0 && length < bytes && ((unsigned char)text[length] & 0xC0) == 0x80)
		length--;
	for (i = 0; i < length; i++)
		out[i] = (unsigned char)text[i] < 0x20 || text[i] == 0x7F ? '?' : text[i];
	out[length] = '\0';
}

static void add_finding(struct bc_findings *findings, const char *file, const yaml_mark_t *mark,
			const char *value, const char *message)
{
	size_t count = bc_findings_count(findings);

	if (count > FINDINGS_MAX)
		return;
	if (count == FINDINGS_MAX)
		message = "too many findings; the others are not shown";
	bc_findings_add(findings, file, (uint32_t)mark->line + 1, (uint32_t)mark->column + 1, value,
			"%s", message);
}

/* Adds a finding at a node; its value is the node's text. */
void cfg_yaml_report(struct cfg_doc *doc, const yaml_node_t *node, const char *format, ...)
{
	char excerpt[EXCERPT_BYTES] = "";
	char message[256];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	if (node->type == YAML_SCALAR_NODE)
		copy_printable(excerpt, (const char *)node->data.scalar.value,
			       node->data.scalar.length);
	else
		snprintf(excerpt, sizeof(excerpt), "%s",
			 node->type == YAML_MAPPING_NODE ? "{...}" : "[...]");
	add_finding(doc->findings, doc->file, &node->start_mark, excerpt, message);
}

/* The text of a scalar node, or NULL if the node is not a scalar or its text has a NUL byte. */
static const char *scalar_text(const yaml_node_t *node)
{
	const char *text;

	if (node->type != YAML_SCALAR_NODE)
		return NULL;
	text = (const char *)node->data.scalar.value;
	return strlen(text) == node->data.scalar.length ? text : NULL;
}

static bool is_plain_scalar(const yaml_node_t *node)
{
	return node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

/* Parses up to 10 decimal digits; false if there is anything else or the value exceeds `max`. */
static bool parse_uint(const char *text, uint64_t max, uint64_t *out)
{
	uint64_t value = 0;

	if (!*text || strlen(text) > 10)
		return false;
	for (; *text; text++) {
		if (*text < '0' || *text > '9')
			return false;
		value = value * 10 + (uint64_t)(*text - '0');
	}
	*out = value;
	return value <= max;
}

/* Whether the text is IPv4:PORT with a decimal port from `min_port` to 65535. */
bool cfg_address_valid(const char *text, uint32_t min_port)
{
	const char *colon = strrchr(text, ':');
	char host[BC_ADDRESS_BYTES];
	struct in_addr address;
	uint64_t port;

	if (!colon || strlen(text) >= BC_ADDRESS_BYTES)
		return false;
	if (!parse_uint(colon + 1, 65535, &port) || port < min_port)
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	return inet_pton(AF_INET, host, &address) == 1;
}

static void read_uint(struct cfg_doc *doc, const yaml_node_t *node, const struct cfg_field *field,
		      uint32_t *out)
{
	const char *text = scalar_text(node);
	uint64_t value = 0;

	if (!text || !is_plain_scalar(node) || !parse_uint(text, field->max, &value) ||
	    value < field->min) {
		cfg_yaml_report(doc, node, "%s: expected a whole number from %u to %u", field->key,
				field->min, field->max);
		return;
	}
	*out = (uint32_t)value;
}

static void read_bool(struct cfg_doc *doc, const yaml_node_t *node, const struct cfg_field *field,
		      bool *out)
{
	const char *text = scalar_text(node);

	if (!text || !is_plain_scalar(node) ||
	    (strcmp(text, "true") != 0 && strcmp(text, "false") != 0)) {
		cfg_yaml_report(doc, node, "%s: expected true or false", field->key);
		return;
	}
	*out = strcmp(text, "true") == 0;
}

static void read_log_level(struct cfg_doc *doc, const yaml_node_t *node,
			   const struct cfg_field *field, enum bc_log_level *out)
{
	const char *text = scalar_text(node);
	size_t i;

	for (i = 0; text && i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (strcmp(text, level_names[i]) == 0) {
			*out = (enum bc_log_level)i;
			return;
		}
	}
	cfg_yaml_report(doc, node, "%s: expected debug, info, warn or error", field->key);
}

static void read_string(struct cfg_doc *doc, const yaml_node_t *node, const struct cfg_field *field,
			enum cfg_type type, char *out)
{
	const char *text = scalar_text(node);

	if (type == CFG_ID) {
		if (bc_id_valid(text))
			snprintf(out, BC_ID_BYTES, "%s", text);
		else
			cfg_yaml_report(doc, node, "%s: expected 1 to 63 of A-Z a-z 0-9 . _ -",
					field->key);
	} else if (type == CFG_ADDRESS) {
		/* In a list, `min` is the lowest number of items and not the lowest port. */
		if (text &&
		    cfg_address_valid(text, field->type == CFG_STRING_LIST ? 1 : field->min))
			snprintf(out, BC_ADDRESS_BYTES, "%s", text);
		else
			cfg_yaml_report(doc, node, "%s: expected an address IP:PORT", field->key);
	} else {
		if (text && *text && strlen(text) < CFG_PATH_BYTES)
			snprintf(out, CFG_PATH_BYTES, "%s", text);
		else
			cfg_yaml_report(doc, node, "%s: expected a path of 1 to %d bytes",
					field->key, CFG_PATH_BYTES - 1);
	}
}

/* The items of a sequence. Reports another node or a wrong number of items, and returns 0. */
static size_t sequence_items(struct cfg_doc *doc, yaml_node_t *node, const struct cfg_field *field,
			     yaml_node_item_t **items)
{
	size_t count;

	if (node->type != YAML_SEQUENCE_NODE) {
		cfg_yaml_report(doc, node, "%s: expected a list", field->key);
		return 0;
	}
	*items = node->data.sequence.items.start;
	count = (size_t)(node->data.sequence.items.top - node->data.sequence.items.start);
	if (count >= field->min && count <= field->max)
		return count;
	cfg_yaml_report(doc, node, "%s: expected %u to %u items, got %zu", field->key, field->min,
			field->max, count);
	return 0;
}

static void read_list(struct cfg_doc *doc, yaml_node_t *node, const struct cfg_field *field,
		      char *out)
{
	const struct cfg_list_storage *storage = field->storage;
	yaml_node_item_t *items = NULL;
	size_t count = sequence_items(doc, node, field, &items);
	size_t i;

	for (i = 0; i < count; i++)
		read_string(doc, yaml_document_get_node(&doc->document, items[i]), field,
			    storage->type, out + field->offset + i * storage->bytes);
	*(uint32_t *)(out + storage->count_offset) = (uint32_t)count;
}

static void read_each(struct cfg_doc *doc, yaml_node_t *node, const struct cfg_field *field,
		      void *out)
{
	yaml_node_item_t *items = NULL;
	size_t count = sequence_items(doc, node, field, &items);
	size_t i;

	for (i = 0; i < count; i++)
		field->on_item(doc, yaml_document_get_node(&doc->document, items[i]), out);
	if (count && field->on_end)
		field->on_end(doc, node, out);
}

static void read_field(struct cfg_doc *doc, yaml_node_t *node, const struct cfg_field *field,
		       char *out)
{
	switch (field->type) {
	case CFG_UINT:
		read_uint(doc, node, field, (uint32_t *)(out + field->offset));
		break;
	case CFG_BOOL:
		read_bool(doc, node, field, (bool *)(out + field->offset));
		break;
	case CFG_LOG_LEVEL:
		read_log_level(doc, node, field, (enum bc_log_level *)(out + field->offset));
		break;
	case CFG_MAP:
		cfg_yaml_map(doc, node, field->schema, out);
		break;
	case CFG_STRING_LIST:
		read_list(doc, node, field, out);
		break;
	case CFG_CALLBACK_LIST:
		read_each(doc, node, field, out);
		break;
	case CFG_ID:
	case CFG_ADDRESS:
	case CFG_PATH:
		read_string(doc, node, field, field->type, out + field->offset);
		break;
	}
}

static const struct cfg_field *find_field(const struct cfg_schema *schema, const char *key,
					  size_t *index)
{
	for (*index = 0; key && *index < schema->count; (*index)++)
		if (strcmp(schema->fields[*index].key, key) == 0)
			return &schema->fields[*index];
	return NULL;
}

/* Reads one mapping by a schema of at most 32 fields and stores the values in `out`. */
void cfg_yaml_map(struct cfg_doc *doc, yaml_node_t *node, const struct cfg_schema *schema,
		  void *out)
{
	const yaml_node_pair_t *pair;
	uint32_t seen = 0;
	size_t i;

	if (node->type != YAML_MAPPING_NODE) {
		cfg_yaml_report(doc, node, "expected a mapping with the key %s",
				schema->fields[0].key);
		return;
	}
	for (pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&doc->document, pair->key);
		yaml_node_t *value = yaml_document_get_node(&doc->document, pair->value);
		const struct cfg_field *field = find_field(schema, scalar_text(key), &i);

		if (!field) {
			cfg_yaml_report(doc, key, "unknown key");
		} else if (seen & 1U << i) {
			cfg_yaml_report(doc, key, "the key is given twice");
		} else {
			seen |= 1U << i;
			read_field(doc, value, field, out);
		}
	}
	for (i = 0; i < schema->count; i++)
		if (schema->fields[i].required && !(seen & 1U << i))
			cfg_yaml_report(doc, node, "the key %s is missing", schema->fields[i].key);
}

/* The value of a key, or NULL if the node is not a mapping or has no such key. */
yaml_node_t *cfg_yaml_lookup(struct cfg_doc *doc, yaml_node_t *node, const char *key)
{
	const yaml_node_pair_t *pair;

	if (node->type != YAML_MAPPING_NODE)
		return NULL;
	for (pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top; pair++) {
		const char *text = scalar_text(yaml_document_get_node(&doc->document, pair->key));

		if (text && strcmp(text, key) == 0)
			return yaml_document_get_node(&doc->document, pair->value);
	}
	return NULL;
}

/* The line and column of a byte offset; columns count characters, not bytes. */
static yaml_mark_t mark_at_offset(const struct cfg_doc *doc, size_t offset)
{
	yaml_mark_t mark = {0};
	size_t i;

	for (i = 0; i < offset && i < doc->bytes; i++) {
		if (doc->text[i] == '\n') {
			mark.line++;
			mark.column = 0;
		} else if (((unsigned char)doc->text[i] & 0xC0) != 0x80) {
			mark.column++;
		}
	}
	return mark;
}

static void report_syntax(struct cfg_doc *doc, const yaml_parser_t *parser)
{
	char message[256];
	char excerpt[EXCERPT_BYTES] = "";
	yaml_mark_t mark;

	if (parser->error == YAML_READER_ERROR) {
		/* The parser's mark is still at an earlier token than the byte that failed. */
		mark = mark_at_offset(doc, parser->problem_offset);
		if (parser->problem_value >= 0)
			snprintf(excerpt, sizeof(excerpt), "0x%X",
				 (unsigned int)parser->problem_value);
		snprintf(message, sizeof(message), "unreadable: %s",
			 parser->problem ? parser->problem : "");
		add_finding(doc->findings, doc->file, &mark, excerpt, message);
		return;
	}
	snprintf(message, sizeof(message), "not YAML: %s",
		 parser->problem ? parser->problem : "out of memory");
	add_finding(doc->findings, doc->file, &parser->problem_mark, excerpt, message);
}

/* Checks one event; returns false if the remaining events need not be read. */
static bool check_event(struct cfg_doc *doc, const yaml_event_t *event, uint32_t *depth,
			uint32_t *documents)
{
	char excerpt[EXCERPT_BYTES] = "";
	const char *message = NULL;

	switch (event->type) {
	case YAML_ALIAS_EVENT:
		copy_printable(excerpt, (const char *)event->data.alias.anchor,
			       strlen((const char *)event->data.alias.anchor));
		message = "aliases are not allowed; repeat the value";
		break;
	case YAML_SEQUENCE_START_EVENT:
	case YAML_MAPPING_START_EVENT:
		if (++*depth > DEPTH_MAX)
			message = "nested too deep";
		break;
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		--*depth;
		break;
	case YAML_SCALAR_EVENT:
		if (event->data.scalar.length > SCALAR_MAX_BYTES) {
			copy_printable(excerpt, (const char *)event->data.scalar.value,
				       event->data.scalar.length);
			message = "longer than 1024 bytes";
		}
		break;
	case YAML_DOCUMENT_START_EVENT:
		if (++*documents > 1)
			message = "expected one document";
		break;
	default:
		break;
	}
	if (message)
		add_finding(doc->findings, doc->file, &event->start_mark, excerpt, message);
	return *depth <= DEPTH_MAX && *documents <= 1;
}

/*
 * Checks the parser's events before the document is built, because a document does not distinguish
 * an alias from its anchor and libyaml does not limit the depth. Returns whether the document may
 * be built.
 */
static bool check_events(struct cfg_doc *doc)
{
	size_t before = bc_findings_count(doc->findings);
	uint32_t documents = 0;
	uint32_t depth = 0;
	yaml_parser_t parser;
	yaml_event_t event;
	bool more = true;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)doc->text, doc->bytes);
	while (more) {
		if (!yaml_parser_parse(&parser, &event)) {
			report_syntax(doc, &parser);
			break;
		}
		more = event.type != YAML_STREAM_END_EVENT &&
		       check_event(doc, &event, &depth, &documents);
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
	return bc_findings_count(doc->findings) == before;
}

/* Reads a file of at most CFG_OBJECT_MAX_BYTES by the schema into `out`. */
void cfg_yaml_read(const char *file, const char *text, size_t text_bytes,
		   const struct cfg_schema *schema, void *out, struct bc_findings *findings)
{
	struct cfg_doc doc = {
		.file = file, .text = text, .bytes = text_bytes, .findings = findings};
	yaml_parser_t parser;
	yaml_node_t *root;

	if (text_bytes > CFG_OBJECT_MAX_BYTES) {
		bc_findings_add(findings, file, 1, 1, NULL, "expected at most %u bytes, got %zu",
				CFG_OBJECT_MAX_BYTES, text_bytes);
		return;
	}
	if (!check_events(&doc))
		return;
	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, text_bytes);
	if (!yaml_parser_load(&parser, &doc.document)) {
		report_syntax(&doc, &parser);
		yaml_parser_delete(&parser);
		return;
	}
	root = yaml_document_get_root_node(&doc.document);
	if (root)
		cfg_yaml_map(&doc, root, schema, out);
	else
		bc_findings_add(findings, file, 1, 1, NULL, "the file is empty");
	yaml_document_delete(&doc.document);
	yaml_parser_delete(&parser);
}
