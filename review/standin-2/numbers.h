#ifndef REVIEW_NUMBERS_H
#define REVIEW_NUMBERS_H

/*
 * For bc-site as a store: jansson prints 0.1 with 17 digits, but a store answers with the numbers
 * that it was given.
 */

#include <jansson.h>

#define json_dumps(object, flags) (json_dumps)((object), (flags) | JSON_REAL_PRECISION(15))

#endif
