/** What became of one publish. */
export type PublishOutcome =
    | { kind: "accepted"; revision: number; }
    | { kind: "refused"; }
    | { kind: "unknown"; };
