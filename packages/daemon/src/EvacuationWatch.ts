import type { Evacuations, MetadataStore, StoreItem } from '@toucanline/jobs';
import { ConfirmationAge } from './ConfirmationAge.js';
import type { EvacuationTimes } from './EvacuationTimes.js';
import type { EventLog } from './EventLog.js';
import type { HostMetrics } from './HostMetrics.js';
import { hostLimits } from './hostLimits.js';
import { PrefixWatch } from './PrefixWatch.js';

/** What the watch needs from the leader. */
interface EvacuationWatchContext {
  readonly store: MetadataStore;
  /** Prefix of the keys that evacuate a data centre. */
  readonly prefix: string;
  readonly times: EvacuationTimes;
  /** Receives the evacuated data centres. */
  readonly evacuations: Evacuations;
  readonly log: EventLog;
  readonly metrics: HostMetrics;
  /** Called when a planning pass may have other results than the last one. */
  readonly onChange: () => void;
}

/**
 * Follows the evacuations that the operator requests in the store, and keeps how old this view is. An evacuation that the
 * store confirmed to the operator before a call was sent is part of the response to that call.
 */
export class EvacuationWatch {
  readonly #context: EvacuationWatchContext;
  readonly #age = new ConfirmationAge();
  readonly #watch: PrefixWatch;
  /** Monotonic time in milliseconds since when the view is too old for starts; undefined while it is recent. */
  #unconfirmedSince: number | undefined = performance.now();
  #isUnconfirmedLogged = false;

  /** @param context - what the watch needs from the leader */
  public constructor(context: EvacuationWatchContext) {
    this.#context = context;
    const { store, prefix, times, evacuations, log } = context;
    evacuations.setConfirmed(false);
    this.#watch = new PrefixWatch(store, prefix, times.watchMs, {
      onSnapshot: (items) => {
        const listed = new Set(items.map(({ key }) => key.slice(prefix.length)));
        for (const dataCentre of [...evacuations.dataCentres])
          if (!listed.has(dataCentre)) this.#end(dataCentre);
        for (const item of items) this.#apply(item);
      },
      onChange: (item) => {
        this.#apply(item);
      },
      onError: (error) => {
        log.writeError('evacuations', error);
      },
      onConfirmed: (monotonicAt, wallAt) => {
        this.#age.confirm(monotonicAt, wallAt);
        if (this.#unconfirmedSince !== undefined) context.onChange();
      },
    });
  }

  /** Time for which a start that is sent now may still be executed, in milliseconds; negative if none may be sent. */
  public get startTimeLeftMs(): number {
    const { maxAgeMs, startExpiryMs } = this.#context.times;
    const ageMs = this.#age.computeMs();
    return ageMs < maxAgeMs ? startExpiryMs - ageMs : -1;
  }

  /** Starts to follow the evacuations. */
  public start(): void {
    void this.#watch.run();
  }

  /** Stops, because another leader decides from now on. */
  public stop(): void {
    this.#watch.stop();
    this.#context.metrics.setEvacuatedDataCentres(0);
  }

  /** Checks the age of the view before a planning pass, and logs when it becomes too old or is confirmed again. */
  public update(): void {
    const { evacuations, log } = this.#context;
    const isConfirmed = this.startTimeLeftMs > 0;
    evacuations.setConfirmed(isConfirmed);
    const now = performance.now();
    if (!isConfirmed) {
      this.#unconfirmedSince ??= now;
      const heldMs = now - this.#unconfirmedSince;
      if (this.#isUnconfirmedLogged || heldMs < hostLimits.evacuationHoldLogMs) return;
      this.#isUnconfirmedLogged = true;
      const ageMs = Math.round(Math.min(this.#age.computeMs(), 1e9));
      log.write('evacuationsUnconfirmed', { ageMs });
      return;
    }
    if (this.#isUnconfirmedLogged) {
      const heldMs = Math.round(now - (this.#unconfirmedSince ?? now));
      log.write('evacuationsConfirmed', { heldMs });
    }
    this.#isUnconfirmedLogged = false;
    this.#unconfirmedSince = undefined;
  }

  #apply({ key, value, revision }: StoreItem): void {
    const { prefix, evacuations, log } = this.#context;
    const dataCentre = key.slice(prefix.length);
    // The prefix alone names no data centre.
    if (dataCentre === '') return;
    if (value === undefined) {
      this.#end(dataCentre);
      return;
    }
    if (!evacuations.begin(dataCentre)) return;
    log.write('evacuationStarted', { dataCentre, revision });
    this.#publish();
  }

  #end(dataCentre: string): void {
    const { evacuations, log } = this.#context;
    if (!evacuations.end(dataCentre)) return;
    log.write('evacuationEnded', { dataCentre });
    this.#publish();
  }

  #publish(): void {
    const { evacuations, metrics, onChange } = this.#context;
    metrics.setEvacuatedDataCentres(evacuations.dataCentres.size);
    onChange();
  }
}
