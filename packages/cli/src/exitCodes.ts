/** Exit codes of the command line, as the help of each command lists them. */
export const exitCodes = Object.freeze({
  /** An unexpected error. */
  unexpected: 1,
  /** Invalid usage, settings or document. */
  invalid: 2,
  /** The system refused the operation. */
  refused: 3,
  /** No entry answered. */
  noAnswer: 4,
  /** Nothing was changed, because `--yes` was not given. */
  notConfirmed: 5,
  /** The request did not succeed. */
  notSucceeded: 6,
});
