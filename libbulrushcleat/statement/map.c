#include "statement/statement_internal.h"

#include <stdlib.h>
#include <string.h>

/* Finds the entry with this name; NULL if there is none. */
const struct stm_map_entry *stm_map_get(const struct stm_map *map, const char *name)
{
	size_t i;

	for (i = 0; i < map->count; i++)
		if (strcmp(map->entries[i].name, name) == 0)
			return &map->entries[i];
	return NULL;
}

static bool replace_entry(struct stm_map_entry *entry, const char *value, bool writes)
{
	char *copy = strdup(value);

	if (!copy)
		return false;
	free(entry->value);
	entry->value = copy;
	entry->writes = writes;
	return true;
}

static bool ensure_capacity(struct stm_map *map)
{
	size_t capacity = map->capacity ? 2 * map->capacity : 4;
	struct stm_map_entry *entries;

	if (map->count < map->capacity)
		return true;
	entries = realloc(map->entries, capacity * sizeof(*entries));
	if (!entries)
		return false;
	map->entries = entries;
	map->capacity = capacity;
	return true;
}

/* Adds or replaces an entry; false if the map is full or memory is exhausted. */
bool stm_map_set(struct stm_map *map, const char *name, const char *value, bool writes)
{
	struct stm_map_entry *entry = (struct stm_map_entry *)stm_map_get(map, name);

	if (entry)
		return replace_entry(entry, value, writes);
	if (map->count == STM_MAP_ENTRIES_MAX || !ensure_capacity(map))
		return false;
	entry = &map->entries[map->count];
	*entry = (struct stm_map_entry){strdup(name), strdup(value), writes};
	if (!entry->name || !entry->value) {
		free(entry->name);
		free(entry->value);
		return false;
	}
	map->count++;
	return true;
}

/* Removes an entry, if there is one. */
void stm_map_remove(struct stm_map *map, const char *name)
{
	struct stm_map_entry *entry = (struct stm_map_entry *)stm_map_get(map, name);

	if (!entry)
		return;
	free(entry->name);
	free(entry->value);
	*entry = map->entries[--map->count];
}

/* Removes all entries and frees their memory. */
void stm_map_clear(struct stm_map *map)
{
	while (map->count) {
		map->count--;
		free(map->entries[map->count].name);
		free(map->entries[map->count].value);
	}
	free(map->entries);
	*map = (struct stm_map){0};
}
