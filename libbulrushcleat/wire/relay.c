#include "wire/wire_internal.h"

#include "account/account.h"

#include <stdlib.h>
#include <string.h>

/* A statement or the rows of a result are at most as long as a caller's longest message. */
#define TEXT_MAX_BYTES WIRE_CONTENT_MAX_BYTES

static ProtobufCBinaryData text_or_empty(const char *text)
{
	return (ProtobufCBinaryData){text ? strlen(text) : 0, (uint8_t *)(text ? text : "")};
}

/* Fills the protobuf message of an order; `values` and `list` hold SQL_VARIABLES_MAX entries. */
void wire_order_pack(Wire__Order *out, Wire__Value *values, Wire__Value **list,
		     const struct sql_order *order)
{
	uint32_t i;

	wire__order__init(out);
	out->kind = order->kind;
	out->stream = order->stream;
	out->endpoint = text_or_empty(order->endpoint_id);
	out->verb = order->statement.verb;
	out->id = text_or_empty(order->statement.id);
	out->text = text_or_empty(order->statement.text);
	out->name = text_or_empty(order->statement.name);
	out->value = text_or_empty(order->statement.value);
	out->shape = text_or_empty(order->shape);
	out->shape_writes = order->shape_writes;
	out->in_transaction = order->in_transaction;
	out->begun = order->begun;
	out->read_only = order->read_only;
	out->writes = order->writes;
	out->guard = order->guard;
	out->has_after = order->statement.has_after;
	out->after_term = order->statement.after.term;
	out->after_number = order->statement.after.pos;
	out->timeout_ms = order->timeout_ms;
	out->target_ms = order->target_ms;
	out->priority = order->priority;
	out->account = text_or_empty(order->account);
	out->sent_us = order->sent_us;
	for (i = 0; i < order->variable_count; i++) {
		wire__value__init(&values[i]);
		values[i].name = text_or_empty(order->variables[i].name);
		values[i].value = text_or_empty(order->variables[i].value);
		list[i] = &values[i];
	}
	out->n_values = order->variable_count;
	out->values = list;
}

/* Whether a row contains LF. The LF of SQL_ROW_END is the only one that follows a CR. */
static bool rows_contain_lf(const char *rows, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		if (rows[i] == '\n' && (i == 0 || rows[i - 1] != '\r'))
			return true;
	return false;
}

/* Copies rows without the CR of each SQL_ROW_END. Returns the length of the copy. */
static size_t copy_rows_end_lf(char *out, const char *rows, size_t bytes)
{
	size_t length = 0;
	size_t i;

	for (i = 0; i < bytes; i++)
		if (rows[i] != '\r' || i + 1 == bytes || rows[i + 1] != '\n')
			out[length++] = rows[i];
	return length;
}

/*
 * Fills the protobuf message of a reply. Returns memory that the message refers to, to be freed
 * after it; NULL if out of memory, when the message must not be sent.
 */
char *wire_reply_pack(Wire__Reply *out, const struct sql_reply *reply)
{
	const struct sql_result *result = &reply->result;
	char *rows = malloc(result->rows_bytes + 1);

	if (!rows)
		return NULL;
	wire__reply__init(out);
	out->rows_end_crlf = rows_contain_lf(result->rows, result->rows_bytes);
	if (out->rows_end_crlf)
		out->rows = (ProtobufCBinaryData){result->rows_bytes, (uint8_t *)result->rows};
	else
		out->rows = (ProtobufCBinaryData){
			copy_rows_end_lf(rows, result->rows, result->rows_bytes), (uint8_t *)rows};
	out->stream = reply->stream;
	out->code = result->code;
	out->message = text_or_empty(result->message);
	out->signature = text_or_empty(result->signature);
	out->state = result->state;
	out->has_position = result->has_position;
	out->term = result->position.term;
	out->number = result->position.pos;
	out->endpoint_lost = reply->endpoint_lost;
	out->has_sample = reply->has_sample;
	out->sample_term = reply->sample.term;
	out->sample_number = reply->sample.pos;
	out->sample_age_ms = reply->sample_age_ms;
	out->order_sent_us = reply->order_sent_us;
	return rows;
}

/* Copies a field to the cursor with a terminating NUL and advances it; NULL if it is empty. */
static const char *copy_text(char **cursor, ProtobufCBinaryData in)
{
	char *start = *cursor;

	if (!in.len)
		return NULL;
	memcpy(start, in.data, in.len);
	start[in.len] = '\0';
	*cursor += in.len + 1;
	return start;
}

static bool has_nul(ProtobufCBinaryData in)
{
	return in.len && memchr(in.data, 0, in.len);
}

static size_t order_text_bytes(const Wire__Order *in)
{
	size_t bytes = in->endpoint.len + in->id.len + in->text.len + in->name.len + in->value.len +
		       in->shape.len + in->account.len + 7;
	size_t i;

	for (i = 0; i < in->n_values; i++)
		bytes += in->values[i]->name.len + in->values[i]->value.len + 2;
	return bytes;
}

static const char *unpack_values(const Wire__Order *in, struct sql_order *order, char **cursor)
{
	size_t i;

	for (i = 0; i < in->n_values; i++) {
		const Wire__Value *from = in->values[i];

		if (has_nul(from->name) || has_nul(from->value) || !from->name.len)
			return "value of an order";
		order->variables[i].name = copy_text(cursor, from->name);
		order->variables[i].value = copy_text(cursor, from->value);
		if (!order->variables[i].value)
			order->variables[i].value = "";
	}
	order->variable_count = (uint32_t)in->n_values;
	return NULL;
}

/* Unpacks an order; its strings are in out->content. Returns the invalid field, or NULL. */
const char *wire_order_unpack(const Wire__Order *in, struct wire_message *out)
{
	struct sql_order *order = &out->order;
	char *cursor;

	if (in->n_values > SQL_VARIABLES_MAX)
		return "number of values";
	if (has_nul(in->endpoint) || has_nul(in->id) || has_nul(in->text) || has_nul(in->name) ||
	    has_nul(in->value) || has_nul(in->shape) || has_nul(in->account))
		return "text of an order";
	out->content = malloc(order_text_bytes(in));
	order->variables = calloc(in->n_values + 1, sizeof(*order->variables));
	if (!out->content || !order->variables)
		return "length of an order: out of memory";
	cursor = out->content;
	order->kind = (enum sql_order_kind)in->kind;
	order->stream = in->stream;
	order->endpoint_id = copy_text(&cursor, in->endpoint);
	order->statement.verb = (enum sql_verb)in->verb;
	order->statement.id = copy_text(&cursor, in->id);
	order->statement.text = copy_text(&cursor, in->text);
	order->statement.name = copy_text(&cursor, in->name);
	order->statement.value = copy_text(&cursor, in->value);
	order->shape = copy_text(&cursor, in->shape);
	order->shape_writes = in->shape_writes;
	order->in_transaction = in->in_transaction;
	order->begun = in->begun;
	order->read_only = in->read_only;
	order->writes = in->writes;
	order->guard = in->guard;
	order->statement.has_after = in->has_after;
	order->statement.after = (struct bc_position){in->after_term, in->after_number};
	order->timeout_ms = in->timeout_ms;
	order->target_ms = in->target_ms;
	order->priority = in->priority;
	order->account = copy_text(&cursor, in->account);
	order->sent_us = in->sent_us;
	return unpack_values(in, order, &cursor);
}

/* The length of the rows of a reply with SQL_ROW_END after each. */
static size_t unpacked_rows_bytes(const Wire__Reply *in)
{
	size_t bytes = in->rows.len;
	size_t i;

	for (i = 0; !in->rows_end_crlf && i < in->rows.len; i++)
		bytes += in->rows.data[i] == '\n';
	return bytes;
}

/* Copies the rows of a reply, with SQL_ROW_END after each; NULL if there are none. */
static const char *copy_rows(char *out, const Wire__Reply *in)
{
	char *cursor = out;
	size_t i;

	for (i = 0; i < in->rows.len; i++) {
		if (!in->rows_end_crlf && in->rows.data[i] == '\n')
			*cursor++ = '\r';
		*cursor++ = (char)in->rows.data[i];
	}
	return in->rows.len ? out : NULL;
}

/* Unpacks a reply; its strings are in out->content. Returns the invalid field, or NULL. */
const char *wire_reply_unpack(const Wire__Reply *in, struct wire_message *out)
{
	struct sql_reply *reply = &out->reply;
	char *cursor;

	if (has_nul(in->message) || has_nul(in->signature) || has_nul(in->rows))
		return "text of a reply";
	out->content = malloc(in->message.len + in->signature.len + unpacked_rows_bytes(in) + 2);
	if (!out->content)
		return "length of a reply: out of memory";
	cursor = out->content;
	reply->stream = in->stream;
	reply->result.code = (enum sql_code)in->code;
	reply->result.message = copy_text(&cursor, in->message);
	reply->result.signature = copy_text(&cursor, in->signature);
	reply->result.rows = copy_rows(cursor, in);
	reply->result.rows_bytes = unpacked_rows_bytes(in);
	reply->result.state = (enum sql_state)in->state;
	reply->result.has_position = in->has_position;
	reply->result.position = (struct bc_position){in->term, in->number};
	reply->endpoint_lost = in->endpoint_lost;
	reply->has_sample = in->has_sample;
	reply->sample = (struct bc_position){in->sample_term, in->sample_number};
	reply->sample_age_ms = in->sample_age_ms;
	reply->order_sent_us = in->order_sent_us;
	return NULL;
}

static bool too_long(const char *text)
{
	return text && strnlen(text, TEXT_MAX_BYTES + 1) > TEXT_MAX_BYTES;
}

/* Returns the field of an order that is out of range, or NULL. */
const char *wire_order_invalid_field(const struct sql_order *order)
{
	if ((unsigned int)order->kind > SQL_ORDER_PROBE)
		return "kind of an order";
	if (order->variable_count > SQL_VARIABLES_MAX)
		return "number of values";
	if ((unsigned int)order->statement.verb > SQL_MALFORMED)
		return "verb of an order";
	if (order->kind == SQL_ORDER_RUN &&
	    (!order->endpoint_id || strnlen(order->endpoint_id, BC_ID_BYTES) == BC_ID_BYTES))
		return "endpoint of an order";
	if (too_long(order->statement.id) || too_long(order->statement.text) ||
	    too_long(order->statement.value))
		return "length of an order";
	if ((order->statement.name &&
	     strnlen(order->statement.name, SQL_NAME_BYTES) == SQL_NAME_BYTES) ||
	    (order->shape && strnlen(order->shape, SQL_NAME_BYTES) == SQL_NAME_BYTES))
		return "name in an order";
	if (order->account && !acc_name_valid(order->account))
		return "account of an order";
	return NULL;
}

/* Returns the field of a reply that is out of range, or NULL. */
const char *wire_reply_invalid_field(const struct sql_reply *reply)
{
	if ((unsigned int)reply->result.code >= SQL_CODES)
		return "code of a reply";
	if ((unsigned int)reply->result.state > SQL_FAILED_TRANSACTION)
		return "state of a reply";
	if (reply->result.rows_bytes > TEXT_MAX_BYTES || too_long(reply->result.message))
		return "length of a reply";
	return NULL;
}
