/** Reason for which a link was refused or closed. */
export type LinkRefusal = 'links' | 'helloTime' | 'helloBytes' | 'linkBytes' | 'acceptFailed';
