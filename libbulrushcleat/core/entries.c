#include "core/entries.h"

#include <stdlib.h>
#include <string.h>

/* Walks through the structure of a JSON text; what is between the brackets is not checked. */
struct scanner {
	const char *text;
	size_t bytes;
	size_t offset;
	uint32_t depth;
	bool in_string;
};

/* Moves behind the next bracket outside strings and returns it; '\0' at the end of the text. */
static char next_bracket(struct scanner *scanner)
{
	while (scanner->offset < scanner->bytes) {
		char c = scanner->text[scanner->offset++];

		if (scanner->in_string && c == '\\' && scanner->offset < scanner->bytes)
			scanner->offset++;
		else if (c == '"')
			scanner->in_string = !scanner->in_string;
		else if (!scanner->in_string && (c == '{' || c == '['))
			scanner->depth++;
		else if (!scanner->in_string && (c == '}' || c == ']') && scanner->depth)
			scanner->depth--;
		else
			continue;
		if (c != '"' && c != '\\')
			return c;
	}
	return '\0';
}

static bool is_readable(const char *text, size_t bytes, uint32_t levels)
{
	json_t *value;

	if (levels > BC_ENTRY_LEVELS_MAX)
		return false;
	value = json_loadb(text, bytes, 0, NULL);
	json_decref(value);
	return value != NULL;
}

/* Replaces the objects and arrays that open at this level and cannot be read; returns how many. */
static uint32_t replace_unreadable(char *text, size_t bytes, uint32_t level)
{
	struct scanner scanner = {.text = text, .bytes = bytes};
	uint32_t replaced = 0;
	uint32_t deepest = 0;
	size_t start = 0;
	char c;

	while ((c = next_bracket(&scanner))) {
		bool opens = c == '{' || c == '[';

		if (opens && scanner.depth == level) {
			start = scanner.offset - 1;
			deepest = level;
		}
		if (opens && scanner.depth > deepest)
			deepest = scanner.depth;
		if (opens || scanner.depth != level - 1 || deepest < level)
			continue;
		if (!is_readable(text + start, scanner.offset - start, deepest - level + 1)) {
			memset(text + start, ' ', scanner.offset - start);
			text[start] = '0';
			replaced++;
		}
		deepest = 0;
	}
	return replaced;
}

/* Returns how deeply the text is nested. */
static uint32_t levels_of(const char *text, size_t bytes)
{
	struct scanner scanner = {.text = text, .bytes = bytes};
	uint32_t levels = 0;

	while (next_bracket(&scanner))
		if (scanner.depth > levels)
			levels = scanner.depth;
	return levels;
}

/* Parses a document, without the values that cannot be read; see entries.h. */
json_t *bc_entries_load(const char *text, size_t bytes, uint32_t level, uint32_t *replaced)
{
	json_t *document = NULL;
	char *copy;

	*replaced = 0;
	if (levels_of(text, bytes) < level + BC_ENTRY_LEVELS_MAX)
		document = json_loadb(text, bytes, 0, NULL);
	if (document || !bytes)
		return document;
	copy = malloc(bytes);
	if (!copy)
		return NULL;
	memcpy(copy, text, bytes);
	for (; level > 1 && !document; level--) {
		*replaced += replace_unreadable(copy, bytes, level);
		document = json_loadb(copy, bytes, 0, NULL);
	}
	free(copy);
	return document;
}
