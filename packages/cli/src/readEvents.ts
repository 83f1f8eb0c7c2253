import { mergeEvents } from '@toucanline/core/mergeEvents';
import { validators, type Event } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the events of all processes. Every entry is asked for its own events and those of the
 * schedulers it reaches.
 *
 * @param client - the environment
 * @param sinceMs - wall time of the oldest event, in milliseconds
 * @param requestId - restricts the events to one request
 * @returns the events in the order of their stamps and the entries that did not answer
 */
export const readEvents = async (
  client: EntryClient,
  sinceMs: number,
  requestId?: string,
): Promise<
  Result<{ readonly events: readonly Event[]; readonly missing: readonly string[] }, ClientFailure>
> => {
  const request = requestId === undefined ? '' : `&request=${encodeURIComponent(requestId)}`;
  const answers = await Promise.all(
    client.entries.map((entry) =>
      client.sendTo(entry, {
        method: 'GET',
        path: `/v1/events?since=${sinceMs}${request}`,
        mayRepeat: true,
        validator: validators.EventList,
      }),
    ),
  );
  const missing = client.entries.filter((_, index) => answers[index]?.isErr() === true);
  const [first] = answers;
  if (missing.length === answers.length && first?.isErr() === true) return err(first.error);
  const lists = answers.flatMap((answer) => (answer.isOk() ? [answer.value.events] : []));
  return ok({ events: mergeEvents(lists), missing });
};
