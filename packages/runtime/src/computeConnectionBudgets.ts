import type { LimitsSection } from '@toucanline/schema';
import type { ConnectionBudgets } from './ConnectionBudgets.js';

const defaultMemoryMb = 1024;
const defaultDescriptors = 4100;
const defaultRequestSeconds = 60;
const defaultPipelinedRequests = 128;

/** A smaller number leaves no connections besides those that the process itself opens. */
const minDescriptors = 400;
/** Descriptors that are kept for files and are not available to sockets. */
const reservedDescriptors = 200;
/**
 * Shares of the other descriptors. 2,000 connections of callers fit into 4,100 descriptors. Nearly a third is left for
 * connections that the process opens itself: to the store, to other hosts and to 380 workers.
 */
const callerShare = 0.55;
const linkShare = 0.1;
const serviceShare = 0.05;
/** One caller or prober may keep 64 connections, and no prober needs more than twice that. */
const minConnections = 64;
const maxServiceConnections = 128;

/** Connections per MB of memory: an open connection costs up to 16 KB for its objects and an unfinished head. */
const connectionsPerMb = 10;
/** Share of the memory that received bytes may take: 64 bodies of 256 KiB fit into that of 210 MB. */
const receivedShare = 1 / 8;
/** Share of these bytes that requests to a service port may take; they have no bodies. */
const serviceBytesShare = 1 / 16;
const bytesPerMb = 1024 * 1024;

/** A hello has a few hundred bytes; several calls may follow it in one chunk. */
const maxUnidentifiedBytes = 16_384;
/** A host sends its hello at once; a paused or slow one may need seconds. */
const helloMs = 5000;

/**
 * Derives the budgets of connections from the limits of the machine.
 *
 * @param limits - limits from the settings
 * @returns budgets that together stay below the limits
 */
export const computeConnectionBudgets = (limits: LimitsSection = {}): ConnectionBudgets => {
  const memoryMb = limits.memoryMb ?? defaultMemoryMb;
  const descriptors =
    Math.max(minDescriptors, limits.maxDescriptors ?? defaultDescriptors) - reservedDescriptors;
  const receivedBytes = Math.floor(memoryMb * receivedShare * bytesPerMb);
  const maxLinks = Math.floor(descriptors * linkShare);
  return {
    maxCallerConnections: Math.floor(
      Math.min(descriptors * callerShare, Math.max(minConnections, memoryMb * connectionsPerMb)),
    ),
    maxServiceConnections: Math.floor(
      Math.min(maxServiceConnections, Math.max(minConnections, descriptors * serviceShare)),
    ),
    maxCallerBytes: receivedBytes,
    maxServiceBytes: Math.floor(receivedBytes * serviceBytesShare),
    maxPipelinedRequests: limits.maxPipelinedRequests ?? defaultPipelinedRequests,
    requestMs: (limits.requestSeconds ?? defaultRequestSeconds) * 1000,
    links: {
      maxLinks,
      maxUnidentifiedLinks: Math.ceil(maxLinks / 4),
      maxUnidentifiedBytes,
      helloMs,
      maxBufferedBytes: receivedBytes,
    },
  };
};
