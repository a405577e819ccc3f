import type { FaultsReport } from "./faultsReport.js";
import type { KeyedCallers } from "./keyedCallers.js";
import type { RunRecords } from "./runRecords.js";

/** Compares the final outcome of each keyed call with the services' records of handled calls. */
export function auditKeyedCalls(callers: KeyedCallers, records: RunRecords): FaultsReport["keyedCalls"] {
    const counts = records.countsByMarker();
    const { outcomes } = callers;
    const countOf = (kind: string) => outcomes.filter(({ outcome }) => outcome === kind).length;
    return {
        sent: outcomes.length,
        answered: countOf("answered"),
        unknown: countOf("unknown"),
        notRun: countOf("not-run"),
        ranTwice: [...counts.values()].filter(count => count > 1).length,
        notRunButRan: outcomes.filter(({ outcome, marker }) => outcome === "not-run" && counts.has(marker)).length,
        resends: outcomes.reduce((sum, { attempts }) => sum + attempts - 1, 0),
    };
}
