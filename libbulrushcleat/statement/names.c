#include "statement/statement_internal.h"

#include <stdlib.h>
#include <string.h>

/* The entry of this name, or NULL. */
const struct stm_name *stm_names_get(const struct stm_names *names, const char *name)
{
	size_t i;

	for (i = 0; i < names->count; i++)
		if (strcmp(names->items[i].name, name) == 0)
			return &names->items[i];
	return NULL;
}

static bool replace(struct stm_name *item, const char *value, bool writes)
{
	char *copy = strdup(value);

	if (!copy)
		return false;
	free(item->value);
	item->value = copy;
	item->writes = writes;
	return true;
}

static bool grow(struct stm_names *names)
{
	size_t size = names->size ? 2 * names->size : 4;
	struct stm_name *items;

	if (names->count < names->size)
		return true;
	items = realloc(names->items, size * sizeof(*items));
	if (!items)
		return false;
	names->items = items;
	names->size = size;
	return true;
}

/* Adds or changes an entry; false when there are too many or memory is exhausted. */
bool stm_names_set(struct stm_names *names, const char *name, const char *value, bool writes)
{
	struct stm_name *item = (struct stm_name *)stm_names_get(names, name);

	if (item)
		return replace(item, value, writes);
	if (names->count == STM_NAMES_MAX || !grow(names))
		return false;
	item = &names->items[names->count];
	*item = (struct stm_name){strdup(name), strdup(value), writes};
	if (!item->name || !item->value) {
		free(item->name);
		free(item->value);
		return false;
	}
	names->count++;
	return true;
}

/* Removes an entry, if there is one. */
void stm_names_remove(struct stm_names *names, const char *name)
{
	struct stm_name *item = (struct stm_name *)stm_names_get(names, name);

	if (!item)
		return;
	free(item->name);
	free(item->value);
	*item = names->items[--names->count];
}

/* Removes all entries and their memory. */
void stm_names_clear(struct stm_names *names)
{
	while (names->count) {
		names->count--;
		free(names->items[names->count].name);
		free(names->items[names->count].value);
	}
	free(names->items);
	*names = (struct stm_names){0};
}
