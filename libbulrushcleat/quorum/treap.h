#ifndef BC_QUORUM_TREAP_H
#define BC_QUORUM_TREAP_H

/* An ordered set of embedded nodes: a treap, with expected O(log n) for each operation. */

#include <stdint.h>

struct quo_node {
	uint64_t key[3];   /* compared element by element; unique within a set */
	uint64_t priority; /* random; parents have the greatest */
	struct quo_node *left;
	struct quo_node *right;
};

void quo_node_insert(struct quo_node **root, struct quo_node *node, uint64_t priority);
void quo_node_remove(struct quo_node **root, struct quo_node *node);
struct quo_node *quo_node_first(struct quo_node *root);
struct quo_node *quo_node_last(struct quo_node *root);
struct quo_node *quo_node_at_least(struct quo_node *root, const uint64_t key[3]);

#endif
