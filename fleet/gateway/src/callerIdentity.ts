import type { Team } from "@knapweedwood/fleet.view/team";

/** Who a call is from. `team` is undefined if the caller needs no key and has sent no known one. */
export type CallerIdentity =
    | { kind: "identified"; team: Team | undefined; }
    | { kind: "unknown-key"; };
