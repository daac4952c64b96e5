# Targets: all, demo, check, bench, fuzz, format, lint, proto, install, clean.
CC = gcc
CXX = g++
BUILD ?= build/release
SAN ?=
PACKAGES = libapr1-dev libprotobuf-c-dev libyaml-dev liblog4c-dev libcunit1-dev librapidcheck-dev \
	libmicrohttpd-dev libcurl4-openssl-dev libjansson-dev libssl-dev libxxhash-dev \
	libsqlite3-dev zlib1g-dev curl pkg-config g++
LINT_PACKAGES = clang-format clang-tidy cppcheck
PKGS = apr-1 libprotobuf-c yaml-0.1 libmicrohttpd libcurl jansson libcrypto libxxhash zlib sqlite3

PKG_CFLAGS = $(foreach p,$(PKGS),$(shell pkg-config --cflags $(p) 2>/dev/null))
PKG_LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -llog4c -lpthread -lm
CPPFLAGS = -Ilibbulrushcleat -I. -D_GNU_SOURCE $(PKG_CFLAGS)
WARN = -Wall -Wextra -Werror -Wno-unused-parameter
CFLAGS = -std=gnu11 -O2 -g -fno-omit-frame-pointer $(WARN) $(SAN)
CXXFLAGS = -std=gnu++17 -O1 -g $(WARN) -Wno-missing-field-initializers $(SAN)
LDFLAGS = $(SAN)

LIB_SRC = $(filter-out %_test.c,$(sort $(wildcard libbulrushcleat/*/*.c)))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libbulrushcleat.a

DAEMON = $(BUILD)/bulrushcleatd
CLI = $(BUILD)/bulrushcleat
# Each standin/bc-NAME.c is a program; the other files in standin/ are linked into all of them.
STANDIN_MAIN = $(sort $(wildcard standin/bc-*.c))
STANDIN_SHARED = $(filter-out $(STANDIN_MAIN) %_test.c,$(sort $(wildcard standin/*.c)))
STANDINS = $(STANDIN_MAIN:standin/%.c=$(BUILD)/%)
# Every *_test.c is a CUnit program; every *_prop_test.cc a rapidcheck program.
UNIT_TESTS = $(patsubst %.c,$(BUILD)/%,$(sort $(wildcard libbulrushcleat/*/*_test.c standin/*_test.c cli/*_test.c platform/*_test.c platform/check/*_test.c)))
PROP_TESTS = $(patsubst %.cc,$(BUILD)/%,$(sort $(wildcard tests/*_prop_test.cc)))
# Every bench/*_bench.c is a program that measures modules of the library; bench/bench.c is linked
# into all of them.
BENCHES = $(patsubst %.c,$(BUILD)/%,$(sort $(wildcard bench/*_bench.c)))
ENTRY = $(BUILD)/bulrushcleat-entry
PROGRAMS = $(ENTRY) $(BUILD)/bc-site $(BUILD)/bc-reader $(BUILD)/soak-client $(BUILD)/stop-client $(BUILD)/overload-client $(if $(wildcard daemon/*.c),$(DAEMON)) $(if $(wildcard cli/*.c),$(CLI)) $(STANDINS)

.SECONDARY:
.PHONY: all soak entry deps lint-deps programs tests benches demo demo-platform check bench fuzz format format-check lint proto install clean

all: deps
	@$(MAKE) --no-print-directory programs

programs: $(PROGRAMS)
tests: $(UNIT_TESTS) $(PROP_TESTS)
benches: $(BENCHES)

# Installs the missing packages. Does nothing, and needs no network, if all are installed.
deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -qq && \
		DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) >/dev/null; }

lint-deps:
	@dpkg -s $(LINT_PACKAGES) >/dev/null 2>&1 || { apt-get update -qq && \
		DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(LINT_PACKAGES) >/dev/null; }

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(DAEMON): $(patsubst %.c,$(BUILD)/%.o,$(wildcard daemon/*.c)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

# The platform's proxy: the adapter in platform/ and the library, without what only tests need.
ENTRY_PKGS = apr-1 libprotobuf-c yaml-0.1 libmicrohttpd libcurl jansson libcrypto libxxhash zlib
ENTRY_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out %_test.c,$(sort $(wildcard platform/*.c))))
$(ENTRY): $(ENTRY_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(shell pkg-config --libs $(ENTRY_PKGS) 2>/dev/null) -llog4c -lpthread -lm

entry: $(ENTRY)

# The check of the platform's configuration object knows its field names, so it is in platform/.
CHECK_SRC = $(filter-out %_test.c,$(sort $(wildcard platform/check/*.c)))
$(CLI): $(patsubst %.c,$(BUILD)/%.o,$(filter-out %_test.c,$(wildcard cli/*.c)) $(CHECK_SRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bc-%: $(BUILD)/standin/bc-%.o $(STANDIN_SHARED:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/%_test: $(BUILD)/%_test.o $(STANDIN_SHARED:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(PKG_LIBS)

# Tests of the operators' command also link its files except main.c.
CLI_SHARED = $(filter-out cli/main.c %_test.c,$(sort $(wildcard cli/*.c))) $(CHECK_SRC)
$(BUILD)/cli/%_test: $(BUILD)/cli/%_test.o $(CLI_SHARED:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(PKG_LIBS)

$(BUILD)/platform/check/%_test: $(BUILD)/platform/check/%_test.o $(CLI_SHARED:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(PKG_LIBS)

# Tests of the adapter also link its files except main.c.
ENTRY_SHARED = $(filter-out platform/main.c %_test.c,$(sort $(wildcard platform/*.c)))
$(BUILD)/platform/%_test: $(BUILD)/platform/%_test.o $(ENTRY_SHARED:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(PKG_LIBS)

$(BUILD)/tests/%_prop_test: tests/%_prop_test.cc $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP $(LDFLAGS) -o $@ $< $(LIB) -lrapidcheck $(PKG_LIBS)

$(BUILD)/bench/%_bench: $(BUILD)/bench/%_bench.o $(BUILD)/bench/bench.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

SOAK_CLIENTS = $(BUILD)/soak-client $(BUILD)/stop-client $(BUILD)/overload-client
$(SOAK_CLIENTS): $(BUILD)/%: $(BUILD)/soak/%.o $(BUILD)/soak/session.o $(BUILD)/platform/plt_line.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

# The stand-ins of the platform share the codec of platform/ instead of having a second one.
$(BUILD)/bc-site $(BUILD)/bc-reader: $(BUILD)/%: $(BUILD)/platform/standin/%.o $(BUILD)/platform/plt_line.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

SECONDS ?= 20
# Runs a randomized soak test of the platform's proxy: make soak SEED=N SECONDS=S
soak: deps
	@$(MAKE) --no-print-directory programs
	@BUILD=$(BUILD) bash soak/soak.sh $(SEED) $(SECONDS)

demo: deps
	@$(MAKE) --no-print-directory programs
	@BUILD=$(BUILD) tests/demo.sh

check: deps
	@BUILD=$(BUILD) SEED=$(SEED) tests/check.sh

# Runs the platform's proxy against a stand-in of the platform; the same as its system test.
demo-platform: deps
	@$(MAKE) --no-print-directory programs
	@BUILD=$(BUILD) bash tests/entry_test.sh

bench: deps
	@$(MAKE) --no-print-directory programs benches
	@BUILD=$(BUILD) bench/bench.sh

# Runs the property tests for longer, with a new seed, which is printed.
fuzz: deps
	@$(MAKE) --no-print-directory tests
	@seed=$$(date +%s); for t in $(PROP_TESTS); do echo "$$t seed=$$seed"; \
		RC_PARAMS="seed=$$seed max_success=$${RUNS:-5000}" $$t || exit 1; done

SOURCES = $(shell git ls-files -co --exclude-standard -- '*.c' '*.h' '*.cc' | grep -v '\.pb-c\.')

format:
	clang-format -i $(SOURCES)

format-check: lint-deps
	clang-format --dry-run -Werror $(SOURCES)

LINT_SRC = $(filter %.c,$(SOURCES))
lint: lint-deps
	@printf '%s\n' $(LINT_SRC) | xargs -P 8 -n 1 sh -c \
		'out=$$(clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS) 2>&1) || \
		{ printf "%s\n" "$$out"; exit 1; }' lint
	@cppcheck --quiet --error-exitcode=1 --enable=warning,portability --inline-suppr \
		--suppress=missingIncludeSystem -j 8 -Ilibbulrushcleat -I. $(LINT_SRC)

# Only needed after a change to a .proto file; the generated files are committed.
proto:
	cd libbulrushcleat/wire && protoc-c --c_out=. wire.proto
	cd libbulrushcleat/session && protoc-c --c_out=. session.proto

PREFIX ?= /usr/local
# The headers for a program with its own driver of the library: node.h and what it includes.
PUBLIC_HEADERS = bulrushcleat.h core/core.h config/config.h drain/drain.h session/session.h \
	member/member.h wire/wire.h node/node.h core/timer.h account/account.h quota/quota.h
install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib \
		$(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8
	install $(DAEMON) $(CLI) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	for h in $(PUBLIC_HEADERS); do \
		install -D -m 644 libbulrushcleat/$$h $(DESTDIR)$(PREFIX)/include/bulrushcleat/$$h; done
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
