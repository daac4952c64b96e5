#ifndef STA_GATE_H
#define STA_GATE_H

/*
 * Fault injection for the answers of the stand-in servers. Every answer passes through the gate,
 * which can delay it or withhold it from nodes that are cut off, as a network partition does.
 */

#include "io/io.h"

/* Request header in which every node sends its id. */
#define STA_NODE_HEADER "X-Node"

struct sta_gate;

struct sta_gate *sta_gate_create(struct io_loop *loop);
void sta_gate_destroy(struct sta_gate *gate);
void sta_gate_cut_set(struct sta_gate *gate, json_t *ids);
bool sta_gate_is_cut(const struct sta_gate *gate, const char *id);
void sta_gate_delay_set(struct sta_gate *gate, uint64_t delay_ms);
bool sta_gate_drop_if_cut(struct sta_gate *gate, struct io_http_request *request);
void sta_gate_drop(struct sta_gate *gate, struct io_http_request *request,
		   uint64_t answer_delay_ms);
void sta_gate_answer(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		     json_t *body);
void sta_gate_error(struct sta_gate *gate, struct io_http_request *request, uint32_t status,
		    const char *code, const char *message);
uint64_t sta_gate_bytes_out(const struct sta_gate *gate);

#endif
