/** Settings of a host's process. */
export interface DaemonSettings {
  readonly name: string;
  readonly dataCentre: string;
  /** IP and port for callers. */
  readonly callerAddress: string;
  /** IP and port of the readiness endpoint. */
  readonly readinessAddress: string;
  /** IP and port of the metrics. */
  readonly metricsAddress: string;
  /** IP and port for links of other hosts. */
  readonly linkAddress: string;
  /** Time within which a withdrawn key must stop working, in milliseconds. */
  readonly revokeMs: number;
  /** Longest time that a worker takes to stop a run, in milliseconds. */
  readonly stopMs: number;
  /** Time between the request to stop and the kill, in milliseconds. */
  readonly graceMs: number;
}
