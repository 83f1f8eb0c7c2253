/** Exit codes of the command line, as listed by `toucanline --help`. */
export const exitCodes = Object.freeze({
  /** Unexpected error. */
  unexpected: 1,
  /** Invalid usage, settings or document. */
  invalid: 2,
  /** The system refused the operation, or its current state does not permit it. */
  refused: 3,
  /** The last entry that was tried did not answer; others are not tried if the request must not be repeated. */
  noAnswer: 4,
  /** Nothing was changed, since the change was not confirmed with `--yes`. */
  notConfirmed: 5,
  /** The request failed or was refused, or its outcome is unknown. */
  notSucceeded: 6,
});
