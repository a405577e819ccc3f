import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Random } from "@knapweedwood/core.random/random";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { SoakRecord } from "./soakRecord.js";
import type { TeamKeyRecord } from "./teamKeyRecord.js";

const NAMES = ["t0", "t1", "t2", "t3"];
const KEYS_PER_TEAM = 2;
const PRIORITIES = 3;
const LIMITED_TEAM = "t0";
/** Below what the callers of a team send, so that the limit binds. */
const RATES_PER_S = [6, 3, 8];
const BURST = 3;
/** Number of withdrawn keys that callers still send. */
const RECENTLY_WITHDRAWN = 2;

/** The teams that the operator publishes. Each version replaces the oldest key of a team or changes the limit. */
export class SoakTeams {
    private readonly record: SoakRecord;
    private readonly random: Random;
    private keyCount = 0;

    constructor(opts: { record: SoakRecord; random: Random; }) {
        this.record = opts.record;
        this.random = opts.random;
    }

    /** Returns the teams of the next version of the configuration and records their keys and the limit. */
    advance(version: number): Team[] {
        if (version === 1) {
            NAMES.flatMap(team => Array.from({ length: KEYS_PER_TEAM }, () => team))
                .forEach(team => this.addKey(team, version));
        }
        else if (version % 2 === 0) {
            const team = this.pick(NAMES);
            this.keysOf(team)[0]!.untilVersion = version;
            this.addKey(team, version);
        }
        if (version % 2 === 1) {
            const ratePerS = RATES_PER_S[Math.floor(version / 2) % RATES_PER_S.length]!;
            this.record.teamLimits.push({ version, team: LIMITED_TEAM, ratePerS, burst: BURST });
        }
        return NAMES.map((name, index) => ({
            id: name as TeamId,
            keys: this.keysOf(name).map(({ key }) => key),
            priority: index % PRIORITIES,
            requestsPerSecond: name === LIMITED_TEAM ? this.record.teamLimits.at(-1)!.ratePerS : undefined,
            burst: name === LIMITED_TEAM ? BURST : 0,
        }));
    }

    /** Returns a random valid key of the team, or of a random team without a limit. */
    validKey(team = this.pick(NAMES.filter(name => name !== LIMITED_TEAM))): TeamKeyRecord {
        return this.pick(this.keysOf(team));
    }

    /** Returns a random team. */
    randomTeam(): string {
        return this.pick(NAMES);
    }

    /** Returns one of the two keys that were withdrawn last, if there is one. */
    withdrawnKey(): TeamKeyRecord | undefined {
        const withdrawn = this.record.teamKeys
            .filter(({ untilVersion }) => untilVersion !== undefined)
            .toSorted((left, right) => left.untilVersion! - right.untilVersion!)
            .slice(-RECENTLY_WITHDRAWN);
        return withdrawn.length === 0 ? undefined : this.pick(withdrawn);
    }

    private keysOf(team: string): TeamKeyRecord[] {
        return this.record.teamKeys.filter(key => key.team === team && key.untilVersion === undefined);
    }

    private addKey(team: string, fromVersion: number): void {
        const key = `key-${team}-${this.keyCount++}`;
        this.record.teamKeys.push({ key, team, fromVersion, untilVersion: undefined });
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[this.random.nextInteger(values.length)]!;
    }
}
