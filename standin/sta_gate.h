#ifndef STA_GATE_H
#define STA_GATE_H

/*
 * Answers of the stand-in servers pass through a gate, which can delay them or, as a network
 * partition does, keep them from the nodes it is told to cut off.
 */

#include "io/io.h"

/* Every node names itself in this header of its requests. */
#define STA_NODE_HEADER "X-Node"

struct sta_gate;

struct sta_gate *sta_gate_create(struct io_loop *loop);
void sta_gate_destroy(struct sta_gate *gate);
void sta_gate_cut_set(struct sta_gate *gate, json_t *ids);
bool sta_gate_is_cut(const struct sta_gate *gate, const char *id);
void sta_gate_delay_set(struct sta_gate *gate, uint64_t delay_ms);
bool sta_gate_drops(struct sta_gate *gate, struct io_http_request *request);
void sta_gate_drop(struct sta_gate *gate, struct io_http_request *request, uint64_t hold_ms);
void sta_gate_answer(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		     json_t *body);
void sta_gate_error(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		    const char *code, const char *message);
uint64_t sta_gate_bytes_out(const struct sta_gate *gate);

#endif
