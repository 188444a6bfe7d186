"""Settings of each role: keys with type, unit, default and range."""

__all__ = [
    "AgentSettings",
    "ControlSettings",
    "DirectControlSettings",
    "DirectEntrySettings",
    "EntrySettings",
    "NodeSettings",
]

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from wigeonscale.adapters.channels import TlsFiles
from wigeonscale.config.keys import (
    AddressList,
    Allowed,
    BackendUrl,
    IpAddress,
    ListenAddress,
    LogLevel,
    NodeName,
    PeerList,
    TokenDigest,
    YesNo,
    byte_count,
    count,
    fraction,
    number,
    seconds,
    seconds_or_default,
)

DataFolder = Annotated[str, Field(min_length=1), Allowed("the path of a folder")]
PemFile = Annotated[str, Allowed("the path of a readable PEM file, or empty for none")]
ClassesMode = Annotated[Literal["auto", "yes", "no"], Allowed("auto, yes or no")]
ServiceName = Annotated[
    str,
    Field(pattern="^([A-Za-z0-9][A-Za-z0-9._-]{0,62})?$"),
    Allowed("the name of a plain service; needed when kind = service, else empty"),
]


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings common to all roles.

    Attributes:
        name: Name of this node, unique in the deployment.
        domain: Failure domain of its VM.
        region: Region of its VM.
        log_level: Lowest level of the log lines that are written.
        http: Address of the HTTP server for health, metrics and administration.
        stop_timeout_s: Maximum duration of a graceful shutdown, in seconds.
        tls_ca: Certificates of the authority that signs the certificates of all
            processes; empty for plain TCP between processes.
        tls_cert: Certificate of this process, which names its IP address.
        tls_key: Private key of the certificate.
    """

    name: NodeName
    domain: NodeName
    region: NodeName = "default"
    log_level: LogLevel = "INFO"
    http: ListenAddress
    stop_timeout_s: seconds(0, 3600) = 30.0
    tls_ca: PemFile = ""
    tls_cert: PemFile = ""
    tls_key: PemFile = ""

    @property
    def tls(self) -> TlsFiles | None:
        """Files for mutual TLS between processes; None for plain TCP."""
        if not self.tls_ca:
            return None
        return TlsFiles(ca=self.tls_ca, cert=self.tls_cert, key=self.tls_key)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of ``wigeond entry``.

    Attributes:
        listen: Address for callers.
        control: Addresses of the control replicas' gRPC servers.
        body_limit_bytes: Maximum size of a request body.
        subset: Number of backends per target that this entry balances load over.
        lease_s: Maximum time to serve without confirmation by a majority, in seconds.
        heartbeat_s: Interval of heartbeats to control and agents, in seconds.
        open_timeout_s: Maximum wait for a dispatch to be accepted, in seconds.
        default_deadline_s: Deadline of a request that sets none, in seconds.
        retry_ratio: Allowed retries as a fraction of recent requests.
        max_streams: Maximum number of concurrent requests.
    """

    listen: ListenAddress
    control: AddressList
    body_limit_bytes: byte_count(1024, 64 * 1024 * 1024) = 1024 * 1024
    subset: count(1, 1000) = 16
    lease_s: seconds(0.1, 60) = 3.0
    heartbeat_s: seconds(0.01, 20) = 0.5
    open_timeout_s: seconds(0.01, 300) = 5.0
    default_deadline_s: seconds(0.1, 86400) = 120.0
    retry_ratio: fraction(0, 1) = 0.1
    max_streams: count(1, 100_000) = 5000


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectEntrySettings(NodeSettings):
    """Settings of ``wigeond direct-entry``, which calls backend servers directly.

    Attributes:
        listen: Address for callers.
        seeds: HTTP addresses of some control replicas; only the IP is used.
        internal_port: Port of the gRPC server of every control replica.
        lease_s: Time without confirmation by a majority after which another control
            replica is tried, in seconds. The entry continues to serve callers.
        heartbeat_s: Interval of heartbeats to control, in seconds.
        retry_ratio: Allowed retries as a fraction of recent requests, over all entries.
        retry_slack: Allowed retries in addition to that fraction within
            ``retry_window_s``, over all entries.
        retry_window_s: Time window over which requests and retries are counted, in
            seconds; 0 for the default.
        serve_when_cut: Whether to continue serving with the last known state after no
            majority of control has confirmed it for ``lease_s``.
        killed_after_s: Time after which a process that was asked to stop is killed, in
            seconds; 0 if it is not known, in which case ``stop_timeout_s`` applies.
        classes: Whether services have traffic classes: ``auto`` if their routes differ
            in priority or target, else always or never.
        class_reserve: Largest share of the capacity of engines that a class leaves free
            for more urgent ones while these are short of it; 0 for none.
        memory_mb: Memory of the machine, in MB, a part of which the requests of callers
            may hold; 0 if it is not known.
    """

    listen: ListenAddress
    seeds: AddressList
    internal_port: count(1, 65535)
    lease_s: seconds(0.1, 60) = 3.0
    heartbeat_s: seconds(0.01, 20) = 0.5
    retry_ratio: fraction(0, 100) = 0.1
    retry_slack: number(0, 100_000) = 10.0
    retry_window_s: seconds_or_default(0.1, 3600, default=10) = 10.0
    serve_when_cut: YesNo = True
    killed_after_s: seconds(0, 3600) = 0.0
    classes: ClassesMode = "auto"
    class_reserve: fraction(0, 0.3) = 0.0
    memory_mb: number(0, 10_000_000) = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings(NodeSettings):
    """Settings of ``wigeond agent``.

    Attributes:
        grpc: Address of the agent's gRPC server.
        control: Addresses of the control replicas' gRPC servers.
        kind: Whether the backend server is a model engine or a plain service.
        backend: URL of the backend server.
        service: Name of the plain service; empty for an engine.
        slots: Maximum number of concurrent requests.
        queue_limit: Maximum number of queued requests.
        keep_answers_bytes: Maximum size of all responses kept for collection, in bytes.
        keep_answers_s: Maximum time to keep a response, in seconds.
        repair_timeout_s: Maximum wait for the spare of a lost stage, in seconds.
        lease_s: Maximum time to serve without confirmation by a majority, in seconds.
        heartbeat_s: Interval of heartbeats to control, in seconds.
    """

    grpc: ListenAddress
    control: AddressList
    kind: Annotated[Literal["engine", "service"], Allowed("engine or service")]
    backend: BackendUrl
    service: ServiceName = ""
    slots: count(1, 10_000) = 32
    queue_limit: count(0, 100_000) = 256
    keep_answers_bytes: byte_count(0, 1024**3) = 16 * 1024 * 1024
    keep_answers_s: seconds(0, 86400) = 120.0
    repair_timeout_s: seconds(0, 600) = 10.0
    lease_s: seconds(0.1, 60) = 3.0
    heartbeat_s: seconds(0.01, 20) = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings(NodeSettings):
    """Settings of ``wigeond control``.

    Attributes:
        grpc: Address of the replica's gRPC server.
        data: Folder for the log and snapshots.
        peers: All control replicas, including this one.
        election_timeout_s: Time without a message of the leader before an election, in
            seconds.
        heartbeat_s: Interval of the leader's heartbeats, in seconds.
        lease_s: Time without a majority after which a leader steps down, in seconds.
        down_after_s: Time without a heartbeat after which an incarnation of a backend
            is declared dead even without further evidence, in seconds.
        snapshot_entries: Number of log entries between two snapshots.
        claim_age_s: Age at which a claim expires, in seconds.
        loads: Maximum number of concurrent weight loads.
        spares: Engines per model excluded from new chains and reserved for repairs.
        domain_share: New chains stay within one failure domain each if their
            throughput is then at least this fraction of that of chains across domains;
            0 for always.
        settle_s: Time without a new engine before new chains are created, in seconds.
        rebuild_after_s: Time during which no engine joins or leaves before serving
            chains are rebuilt for missing replicas or a much higher rate, in seconds.
        drain_s: Time for a chain that is no longer needed to finish its requests, in
            seconds.
        https: Whether HTTP is served over TLS, only to clients with a certificate of
            the same authority.
        admin_token_digest: SHA-256 digest of the operators' token; empty if none is
            required.
    """

    grpc: ListenAddress
    data: DataFolder
    peers: PeerList
    election_timeout_s: seconds(0.05, 60) = 1.0
    heartbeat_s: seconds(0.01, 20) = 0.2
    lease_s: seconds(0.1, 60) = 3.0
    down_after_s: seconds(0.1, 600) = 3.0
    snapshot_entries: count(1, 10_000_000) = 2000
    claim_age_s: seconds(1, 30 * 86400) = 86400.0
    loads: count(1, 1000) = 4
    spares: count(0, 1000) = 0
    domain_share: fraction(0, 1) = 0.93
    settle_s: seconds(0, 60) = 0.5
    rebuild_after_s: seconds(0, 86400) = 10.0
    drain_s: seconds(0, 86400) = 120.0
    https: YesNo = False
    admin_token_digest: TokenDigest = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectControlSettings(NodeSettings):
    """Settings of ``wigeond direct-control``, for backend servers without agents.

    Attributes:
        ip: IP address of this VM; with ``internal_port`` it identifies the replica.
        data: Folder for the log and snapshots.
        seeds: HTTP addresses of some control replicas; only the IP is used.
        internal_port: Port of the gRPC server of every control replica.
        first_start: Whether the whole deployment starts for the first time.
        election_timeout_s: Time without a message of the leader before an election, in
            seconds.
        heartbeat_s: Interval of the leader's heartbeats, in seconds.
        lease_s: Age at which the state of a replica is considered stale, in seconds.
        snapshot_entries: Number of log entries between two snapshots.
        backend_heartbeat_s: Interval of the heartbeats of backend servers, in seconds;
            0 for the default.
        answer_s: Maximum wait for a majority before an operator gets a response, in
            seconds.
        killed_after_s: Time after which a process that was asked to stop is killed, in
            seconds; 0 if it is not known, in which case ``stop_timeout_s`` applies.
    """

    ip: IpAddress
    data: DataFolder
    seeds: AddressList
    internal_port: count(1, 65535)
    first_start: YesNo = False
    election_timeout_s: seconds(0.05, 60) = 0.6
    heartbeat_s: seconds(0.01, 20) = 0.15
    lease_s: seconds(0.1, 60) = 1.5
    snapshot_entries: count(1, 10_000_000) = 2000
    backend_heartbeat_s: seconds_or_default(0.01, 60, default=1.2) = 1.2
    answer_s: seconds(0.1, 60) = 0.9
    killed_after_s: seconds(0, 3600) = 0.0
