/** Faults of a TCP proxy. */
export type ProxyFault = 'none' | 'cut' | 'silence' | 'blackhole';
