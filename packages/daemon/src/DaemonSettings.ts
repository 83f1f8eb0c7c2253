/** Settings of a host process. */
export interface DaemonSettings {
  readonly name: string;
  readonly dataCentre: string;
  /** IP and port of the endpoint for callers. */
  readonly callerAddress: string;
  /** IP and port of the readiness endpoint. */
  readonly readinessAddress: string;
  /** IP and port of the metrics endpoint. */
  readonly metricsAddress: string;
  /** IP and port for links from other hosts. */
  readonly linkAddress: string;
  /** Processor time of this host per second, in seconds. */
  readonly processors: number;
  /** Memory of this host, in MB. */
  readonly memoryMb: number;
  /** Number of descriptors that the process may open. */
  readonly maxDescriptors: number;
  /** How well this host can carry the leader, relative to the needs of a small site. */
  readonly leaderFitness: number;
  /** Time within which a withdrawn key must no longer be accepted, in milliseconds. */
  readonly revokeMs: number;
  /**
   * Time after the request to evacuate a data centre after which nothing may start there, in milliseconds. Absent if data
   * centres are not evacuated.
   */
  readonly evacuationMs?: number;
  /** Longest time a worker takes to stop a run, in milliseconds. */
  readonly stopMs: number;
  /** Longest lease that a worker accepts, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Time for which the state of a finished job must stay readable, in milliseconds. */
  readonly statusMs: number;
  /** Time between the request to stop this process and its kill, in milliseconds. */
  readonly graceMs: number;
  /** Whether submissions that the backlog forecast says would be served too late are refused, or all are accepted. */
  readonly admission: 'forecast' | 'open';
  /** Whether the durations of tasks are learned from finished runs, or expected as declared. */
  readonly durationEstimates: 'learned' | 'declared';
}
