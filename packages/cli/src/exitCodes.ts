/** Exit codes of the command line, as listed by `toucanline --help`. */
export const exitCodes = Object.freeze({
  /** Unexpected error. */
  unexpected: 1,
  /** Invalid usage, settings or document. */
  invalid: 2,
  /** The system refused the operation, or its current state does not permit it. */
  refused: 3,
  /** None of the entries answered. */
  noAnswer: 4,
  /** Nothing was changed, since the change was not confirmed with `--yes`. */
  notConfirmed: 5,
  /** The request failed, was refused or is unknown. */
  notSucceeded: 6,
});
