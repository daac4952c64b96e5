#ifndef BC_ENTRIES_H
#define BC_ENTRIES_H

/*
 * Reads JSON documents with entries of several writers. One entry that cannot be read must not hide
 * the others: jansson refuses a whole document for one number out of range, one invalid byte
 * sequence or too many levels.
 */

#include "core/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Levels of nesting that a value of an entry may have; code that reads or frees values is
 * recursive, and peers receive them inside documents with some levels of their own.
 */
#define BC_ENTRY_LEVELS_MAX 64U

/*
 * Parses a JSON document, not necessarily NUL-terminated. Values that cannot be read are replaced
 * by 0: first those that open at `level`, where the document itself opens at level 1, then whole
 * entries one level above it, and so on. `*replaced` is their number. Returns NULL if the document
 * cannot be read all the same.
 */
json_t *bc_entries_load(const char *text, size_t bytes, uint32_t level, uint32_t *replaced);

#ifdef __cplusplus
}
#endif

#endif
