/** Faults that a TCP proxy can inject. */
export type ProxyFault = 'none' | 'cut' | 'silence' | 'blackhole';
