#include "account/account.h"
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))
#define KEYS_PER_ACCOUNT 3U
#define STRIDE 7919U
#define LARGEST 10000U

struct keys {
	struct acc_table *table;
	struct acc_digest *digests;
	uint32_t size;
};

static struct acc_table *table_make(const struct acc_digest *digests, uint32_t size)
{
	struct acc_table *table = acc_create();
	uint32_t i;
	uint32_t k;

	for (i = 0; i < size; i++) {
		struct acc_account account = {.rate_per_s = 10, .burst = 5};

		snprintf(account.name, sizeof(account.name), "account-%u", i);
		if (acc_add(table, &account) != BC_OK)
			abort();
		for (k = 0; k < KEYS_PER_ACCOUNT; k++)
			if (acc_add_key(table, account.name, &digests[i * KEYS_PER_ACCOUNT + k]) !=
			    BC_OK)
				abort();
	}
	return table;
}

static struct acc_digest *digests_make(uint32_t accounts)
{
	struct acc_digest *digests = calloc((size_t)accounts * KEYS_PER_ACCOUNT, sizeof(*digests));
	uint32_t i;

	for (i = 0; i < accounts * KEYS_PER_ACCOUNT; i++) {
		char key[BC_ID_BYTES];

		snprintf(key, sizeof(key), "key-%u", i);
		acc_digest_key(key, &digests[i]);
	}
	return digests;
}

static void *keys_setup(uint32_t size)
{
	struct keys *keys = calloc(1, sizeof(*keys));

	keys->size = size;
	keys->digests = digests_make(size);
	keys->table = table_make(keys->digests, size);
	return keys;
}

static void keys_teardown(void *data)
{
	struct keys *keys = data;

	acc_destroy(keys->table);
	free(keys->digests);
	free(keys);
}

static void find_key(void *data, uint64_t index)
{
	struct keys *keys = data;
	uint64_t at = index * STRIDE % ((uint64_t)keys->size * KEYS_PER_ACCOUNT);

	if (!acc_find_key(keys->table, &keys->digests[at]))
		abort();
}

static void find_name(void *data, uint64_t index)
{
	struct keys *keys = data;
	char name[BC_ID_BYTES];

	snprintf(name, sizeof(name), "account-%u", (uint32_t)(index * STRIDE % keys->size));
	if (!acc_find(keys->table, name))
		abort();
}

static void digest_key(void *data, uint64_t index)
{
	struct acc_digest digest;
	char key[BC_ID_BYTES];

	(void)data;
	snprintf(key, sizeof(key), "key-%llu", (unsigned long long)index);
	acc_digest_key(key, &digest);
}

/* Resident memory of this process; 0 if it cannot be read. */
static uint64_t resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "re");
	unsigned long long pages = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%*u %llu", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

/* Prints by how much a table of the largest size raises the resident memory. */
static void report_memory(void)
{
	struct acc_digest *digests = digests_make(LARGEST);
	uint64_t before = resident_bytes();
	struct acc_table *table = table_make(digests, LARGEST);

	printf("{\"bench\":\"account.memory\",\"accounts\":%u,\"keys\":%u,\"bytes\":%llu}\n",
	       LARGEST, LARGEST * KEYS_PER_ACCOUNT,
	       (unsigned long long)(resident_bytes() - before));
	acc_destroy(table);
	free(digests);
}

/* The size is the number of accounts. */
static const struct bch_case cases[] = {
	{"account.find_key", {10, 300, LARGEST}, true, keys_setup, find_key, keys_teardown},
	{"account.find", {10, 300, LARGEST}, true, keys_setup, find_name, keys_teardown},
	{"account.digest_key", {10, LARGEST}, false, keys_setup, digest_key, keys_teardown},
};

int main(void)
{
	report_memory();
	return bch_main(cases, COUNT_OF(cases));
}
