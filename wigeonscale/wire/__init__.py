"""Protobuf messages and gRPC services between wigeonscale processes.

The modules are generated from ``wire.proto`` by ``make proto`` and committed.
"""

__all__ = ["wire_pb2", "wire_pb2_grpc"]

from wigeonscale.wire import wire_pb2, wire_pb2_grpc
