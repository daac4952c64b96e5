#include "quorum/treap.h"

#include <stddef.h>

static int compare(const uint64_t a[3], const uint64_t b[3])
{
	int i;

	for (i = 0; i < 3; i++)
		if (a[i] != b[i])
			return a[i] < b[i] ? -1 : 1;
	return 0;
}

/* Splits a tree into the nodes below `key` and the others. */
static void split(struct quo_node *node, const uint64_t key[3], struct quo_node **low,
		  struct quo_node **high)
{
	while (node) {
		if (compare(node->key, key) < 0) {
			*low = node;
			low = &node->right;
			node = node->right;
		} else {
			*high = node;
			high = &node->left;
			node = node->left;
		}
	}
	*low = NULL;
	*high = NULL;
}

/* Inserts a node whose key is set. `priority` must be random. */
void quo_node_insert(struct quo_node **root, struct quo_node *node, uint64_t priority)
{
	while (*root && (*root)->priority >= priority)
		root = compare(node->key, (*root)->key) < 0 ? &(*root)->left : &(*root)->right;
	node->priority = priority;
	split(*root, node->key, &node->left, &node->right);
	*root = node;
}

/* Removes a node that is in the set. */
void quo_node_remove(struct quo_node **root, struct quo_node *node)
{
	struct quo_node *low = node->left;
	struct quo_node *high = node->right;

	while (*root != node)
		root = compare(node->key, (*root)->key) < 0 ? &(*root)->left : &(*root)->right;
	while (low && high) {
		if (low->priority > high->priority) {
			*root = low;
			root = &low->right;
			low = low->right;
		} else {
			*root = high;
			root = &high->left;
			high = high->left;
		}
	}
	*root = low ? low : high;
}

/* Returns the node with the least key, or NULL. */
struct quo_node *quo_node_first(struct quo_node *root)
{
	while (root && root->left)
		root = root->left;
	return root;
}

/* Returns the node with the greatest key, or NULL. */
struct quo_node *quo_node_last(struct quo_node *root)
{
	while (root && root->right)
		root = root->right;
	return root;
}

/* Returns the node with the least key that is not below `key`, or NULL. */
struct quo_node *quo_node_at_least(struct quo_node *root, const uint64_t key[3])
{
	struct quo_node *found = NULL;

	while (root) {
		if (compare(root->key, key) < 0) {
			root = root->right;
		} else {
			found = root;
			root = root->left;
		}
	}
	return found;
}
