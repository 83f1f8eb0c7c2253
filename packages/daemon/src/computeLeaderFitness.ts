/** Resources of a host, as its settings declare them. */
interface HostResources {
  /** Processor time per second, in seconds. */
  readonly processors: number;
  readonly memoryMb: number;
  /** Bandwidth of the network link, in megabits per second. */
  readonly linkMbps: number;
}

/** Resources that a leader needs on a small site: a host that has them all has the fitness 1. */
const referenceResources: HostResources = { processors: 0.675, memoryMb: 350, linkMbps: 100 };

/**
 * Computes how well a host can carry the leader. The scarcest resource decides: a leader with a slow link cannot load
 * the state, however fast its processor is.
 *
 * @param resources - resources of the host
 * @returns smallest ratio of a resource to what a leader of a small site needs
 */
export const computeLeaderFitness = ({ processors, memoryMb, linkMbps }: HostResources): number =>
  Math.min(
    processors / referenceResources.processors,
    memoryMb / referenceResources.memoryMb,
    linkMbps / referenceResources.linkMbps,
  );
