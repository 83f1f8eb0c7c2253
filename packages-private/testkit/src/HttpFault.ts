/** Faults that a fake HTTP service of the platform can inject. */
export type HttpFault = 'none' | 'down' | 'hang' | 'loseAnswers';
