import type { Team } from "@knapweedwood/fleet.view/team";

/** Who a call is from. `team` is undefined where callers need no key and bring no known one. */
export type CallerIdentity =
    | { kind: "identified"; team: Team | undefined; }
    | { kind: "unknown-key"; };
