#include "io/io.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Parses an IPv4 "IP:PORT"; port 0 is valid. False if it is malformed. */
bool io_address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	unsigned long port;
	char *end;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return end != colon + 1 && !*end && port <= UINT16_MAX &&
	       inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}
