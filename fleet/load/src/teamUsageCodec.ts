import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { LEVEL_STEPS } from "@knapweedwood/routing.limits/levelSteps";
import type { TeamUsage } from "@knapweedwood/routing.limits/teamUsage";
import { groupsOf } from "./groupsOf.js";

/** Empty if there is nothing to report; the levels are left out if there are none. */
export type PackedTeamUsage = [counts?: (string | number)[], levels?: (string | number)[], areLevelsComplete?: boolean];

const COUNT_FIELDS = 3;
const LEVEL_FIELDS = 2;

/** Packs the usage of teams for a load report. */
export const teamUsageCodec = {
    pack({ counts, levels, areLevelsComplete }: TeamUsage): PackedTeamUsage {
        const packedCounts = counts.flatMap(count => [count.id, count.admitted, count.recentlyAdmitted]);
        if (levels.length > 0 || areLevelsComplete) {
            const packedLevels = levels.flatMap(({ teamId, level }) => [teamId, Math.round(level * LEVEL_STEPS)]);
            return [packedCounts, packedLevels, areLevelsComplete];
        }
        return counts.length > 0 ? [packedCounts] : [];
    },

    /** Unpacks the usage; undefined is what processes of earlier versions send. */
    unpack([counts = [], levels = [], areLevelsComplete = false]: PackedTeamUsage = []): TeamUsage {
        return {
            counts: groupsOf(counts, COUNT_FIELDS).map(([id, admitted, recentlyAdmitted]) => ({
                id: id as TeamId,
                admitted: admitted as number,
                recentlyAdmitted: recentlyAdmitted as number,
            })),
            levels: groupsOf(levels, LEVEL_FIELDS).map(([teamId, level]) => ({
                teamId: teamId as TeamId,
                level: level as number / LEVEL_STEPS,
            })),
            areLevelsComplete,
        };
    },
};
