/** One error of a configuration document. */
export interface DocumentIssue {
  /** Keys from the top level to the value. */
  readonly path: readonly string[];
  /** Line in the text, counted from 1, if it is known. */
  readonly line?: number;
  /** What the document holds there. */
  readonly found: string;
  /** What is allowed there. */
  readonly allowed: string;
}
