#ifndef BC_DRIVER_H
#define BC_DRIVER_H

/* Connects a node to the event loop, the HTTP server and client, and the peer sockets. */

#include "config/config.h"
#include "session/session.h"

struct drv_driver;

/* Opens all sockets. NULL with the last message set if that fails. Borrows ring and settings. */
struct drv_driver *drv_create(struct bc_ctx *ctx, const struct cfg_settings *settings,
			      struct ses_keyring *ring, const void *fleet_key, size_t key_bytes);
void drv_destroy(struct drv_driver *driver);
/* Serves until drained. False if the drain timeout cut off requests. */
bool drv_run(struct drv_driver *driver);

#endif
