#ifndef BC_CFG_YAML_H
#define BC_CFG_YAML_H

/*
 * Table-driven reader of YAML documents. It fills a structure and reports findings with line and
 * column.
 */

#include "config/config.h"

#include <yaml.h>

#ifdef __cplusplus
extern "C" {
#endif

enum cfg_type {
	CFG_ID,		 /* char[BC_ID_BYTES] */
	CFG_ADDRESS,	 /* char[BC_ADDRESS_BYTES], IP:PORT; `min` is the lowest port */
	CFG_PATH,	 /* char[CFG_PATH_BYTES] */
	CFG_UINT,	 /* uint32_t in [min, max] */
	CFG_BOOL,	 /* bool */
	CFG_LOG_LEVEL,	 /* enum bc_log_level */
	CFG_MAP,	 /* nested mapping; its fields' offsets are in the same structure */
	CFG_STRING_LIST, /* sequence of [min, max] ids or addresses, stored as cfg_list_storage says
			  */
	CFG_CALLBACK_LIST, /* sequence of [min, max] items; `on_item` is called for each item */
};

struct cfg_doc;
struct cfg_schema;

/* How a CFG_STRING_LIST is stored: an array at the field's offset, and its length as a uint32_t. */
struct cfg_list_storage {
	enum cfg_type type; /* CFG_ID or CFG_ADDRESS */
	size_t bytes;	    /* of one item */
	size_t count_offset;
};

struct cfg_field {
	const char *key;
	enum cfg_type type;
	bool required;
	size_t offset;
	uint32_t min;
	uint32_t max;
	const struct cfg_schema *schema;
	const struct cfg_list_storage *storage;
	void (*on_item)(struct cfg_doc *doc, yaml_node_t *node, void *out);
	/* Called with the sequence after its last item; may be NULL. */
	void (*on_end)(struct cfg_doc *doc, yaml_node_t *node, void *out);
};

struct cfg_schema {
	const struct cfg_field *fields;
	size_t count;
};

/* Reads `text` by the schema into `out`, which the caller has filled with the defaults. */
void cfg_yaml_read(const char *file, const char *text, size_t text_bytes,
		   const struct cfg_schema *schema, void *out, struct bc_findings *findings);
/* Reads one mapping; for use in `on_item` functions. */
void cfg_yaml_map(struct cfg_doc *doc, yaml_node_t *node, const struct cfg_schema *schema,
		  void *out);
/* The value of a key in a mapping, or NULL. */
yaml_node_t *cfg_yaml_lookup(struct cfg_doc *doc, yaml_node_t *node, const char *key);
/* Adds a finding at a node. */
void cfg_yaml_report(struct cfg_doc *doc, const yaml_node_t *node, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Whether the text is an IPv4 address and port, IP:PORT, with a port of at least `min_port`. */
bool cfg_address_valid(const char *text, uint32_t min_port);

#ifdef __cplusplus
}
#endif

#endif
