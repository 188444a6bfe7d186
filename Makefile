# Every target makes its own environment in .venv from the pinned list.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench matrix slopes proto clean

$(STAMP): requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

test: $(STAMP)
	$(BIN)/python -m wigeonscale.testing.run

matrix: $(STAMP)
	$(BIN)/python -m wigeonscale.testing.matrix

lint: $(STAMP)
	$(BIN)/ruff format --no-cache --check .
	$(BIN)/ruff check --no-cache .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

# Only needed after a change to wire.proto; the generated code is committed.
proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
		wigeonscale/wire/wire.proto

clean:
	rm -rf $(VENV) run
