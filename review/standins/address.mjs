/**
 * Prefix of the loopback addresses of one run of a case. With addresses of its own no other program takes its ports, also
 * while a runner or a host is down.
 */
export const addressPrefix = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;

/** Address of the platform and of the runners. */
export const platformIp = `${addressPrefix}.100`;
