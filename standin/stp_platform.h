#ifndef STP_PLATFORM_H
#define STP_PLATFORM_H

/* The state and the functions that the source files of the platform stand-in share. */

#include "standin/sta_gate.h"
#include "standin/stp_store.h"

enum stp_mode { STP_UP, STP_DOWN, STP_SLOW };

/* Kinds of calls that are counted; a watch counts as one call for all the time it waits. */
enum stp_kind {
	STP_GET,
	STP_PUT,
	STP_DELETE,
	STP_LIST,
	STP_WATCH,
	STP_VMS,
	STP_KINDS,
};

struct stp_watch;
struct stp_vms;

struct stp_platform {
	struct bc_ctx *ctx;
	struct io_loop *loop;
	struct io_http_server *server;
	struct sta_gate *gate;
	struct stp_store *store;
	struct stp_vms *vms;
	struct stp_watch *watches;
	enum stp_mode mode;
	uint64_t delay_ms;
	uint32_t replies_to_lose; /* of the next writes that take effect */
	bool lose_with_error;	  /* a lost reply becomes 500 at once, else 504 after 10 s */
	uint64_t calls[STP_KINDS];
	uint64_t conflicts;
	uint64_t lost_replies;
	uint64_t refused_down;
	uint64_t bytes_in;
	uint32_t waiting_watches;
	uint32_t peak_waiting_watches;
};

/* stp_watch.c: long polls on one object, on the objects of a prefix or on the VM list. */
void stp_watch_object(struct stp_platform *platform, struct io_http_request *request,
		      const char *name);
void stp_watch_changes(struct stp_platform *platform, struct io_http_request *request,
		       const char *prefix);
void stp_watch_vms(struct stp_platform *platform, struct io_http_request *request);
void stp_watch_notify(struct stp_platform *platform, const char *name);
void stp_watch_fail_all(struct stp_platform *platform);

/* stp_vms.c */
struct stp_vms *stp_vms_create(struct stp_platform *platform);
void stp_vms_lag_set(struct stp_vms *vms, uint64_t lag_ms);
const char *stp_vms_change(struct stp_vms *vms, const json_t *change);
enum bc_status stp_vms_load(struct stp_vms *vms, const json_t *list);
uint64_t stp_vms_version(const struct stp_vms *vms);
json_t *stp_vms_json(const struct stp_vms *vms);

/* stp_server.c */
void stp_serve(void *data, struct io_http_request *request);
void stp_answer(struct stp_platform *platform, struct io_http_request *request, uint32_t status,
		json_t *body);

/* stp_control.c */
void stp_control(struct stp_platform *platform, struct io_http_request *request);

#endif
