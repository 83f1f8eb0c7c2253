import { mergeEvents } from '@toucanline/core/mergeEvents';
import { validators, type Event } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { ClientFailure } from './ClientFailure.js';
import type { EntryClient } from './EntryClient.js';

/**
 * Reads the events of all processes. Sends the call to every entry, since an entry returns only its own events
 * and those of the schedulers that it reaches.
 *
 * @param client - client of the environment
 * @param sinceMs - Unix time of the oldest event in milliseconds
 * @param requestId - ID of the request to which the events are restricted; all events by default
 * @returns the events in the order of their stamps, and the entries that did not answer; or the failure of the
 * first entry if none answered
 */
export const readEvents = async (
  client: EntryClient,
  sinceMs: number,
  requestId?: string,
): Promise<
  Result<
    { readonly events: readonly Event[]; readonly unreachable: readonly string[] },
    ClientFailure
  >
> => {
  const requestParameter =
    requestId === undefined ? '' : `&request=${encodeURIComponent(requestId)}`;
  const responses = await Promise.all(
    client.entries.map((entry) =>
      client.sendTo(entry, {
        method: 'GET',
        path: `/v1/events?since=${sinceMs}${requestParameter}`,
        isRepeatable: true,
        validator: validators.EventList,
      }),
    ),
  );
  const unreachable = client.entries.filter((_, index) => responses[index]?.isErr() === true);
  const [firstResponse] = responses;
  if (unreachable.length === responses.length && firstResponse?.isErr() === true)
    return err(firstResponse.error);
  const lists = responses.flatMap((response) => (response.isOk() ? [response.value.events] : []));
  return ok({ events: mergeEvents(lists), unreachable });
};
