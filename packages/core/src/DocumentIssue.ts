/** One error of a configuration document. */
export interface DocumentIssue {
  /** Keys from the top level of the document to the value. */
  readonly path: readonly string[];
  /** Line in the text, counted from 1, if known. */
  readonly line?: number;
  /** Value found in the document. */
  readonly found: string;
  /** Description of the allowed values. */
  readonly allowed: string;
}
