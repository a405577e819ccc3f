/** Outcome of one publish; `unknown` means that it may have been accepted. */
export type PublishOutcome =
    | { kind: "accepted"; revision: number; }
    | { kind: "refused"; }
    | { kind: "unknown"; };
