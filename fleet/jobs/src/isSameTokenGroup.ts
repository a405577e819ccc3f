import type { TokenGroup } from "./tokenGroup.js";

/** Returns whether the tokens of two jobs are limited together. */
export function isSameTokenGroup(left: TokenGroup, right: TokenGroup): boolean {
    return left.routeName === right.routeName && left.team === right.team;
}
