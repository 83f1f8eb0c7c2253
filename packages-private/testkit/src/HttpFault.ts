/** Faults of an HTTP interface of the platform. */
export type HttpFault = 'none' | 'down' | 'hang' | 'loseAnswers';
