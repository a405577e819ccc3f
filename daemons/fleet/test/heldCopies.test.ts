// An accepted job that couldn't be written yet was lost with the disks that were lost one after another: nothing made a new copy.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { HeldJob } from "@knapweedwood/fleet.jobs/heldJob";
import { heldJobIdsCall } from "@knapweedwood/fleet.jobs/heldJobIdsCall";
import type { HoldRequest } from "@knapweedwood/fleet.jobs/holdRequest";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldCopies } from "../src/heldCopies.js";

const OTHERS = ["b", "c", "d"];
const FENCING_NUMBER = 7;
const ROUND_MS = 1000;
/** Age from which lost copies are replaced, with a round. */
const REPLACED_MS = 4000;

/** A leader `a` that knows one held job, and other runners of which some hold it. */
function setUp(opts: { tolerableLosses: number; isLeading?: boolean; holders: string[]; }) {
    const clock = new ManualClock();
    const acceptedAtMs = clock.nowMs();
    const job = { record: { jobId: "j", acceptedAtMs } } as unknown as HeldJob;
    const disks = new Map(["a", ...OTHERS].map(name => [name, new Set(opts.holders.includes(name) ? ["j"] : [])]));
    const unreachable = new Set<string>();
    const approvals: (number | undefined)[] = [];
    const connect = (address: string) => ({
        call: async function*(call: unknown, request: HoldRequest) {
            const disk = disks.get(address[0]!)!;
            if (unreachable.has(address[0]!)) {
                throw new KnapweedError("LINK_NOT_OPEN", "No connection", { outcome: "not-run" });
            }
            if (call === heldJobIdsCall) {
                yield { jobIds: [...disk] };
                return;
            }
            approvals.push(request.approvedBy);
            disk.add(request.job.record.jobId);
            yield { outcome: "held" };
        },
    });
    const copies = new HeldCopies({
        clock,
        logger: silentLogger,
        endpoint: { connect } as unknown as LinkEndpoint,
        fencingNumber: () => opts.isLeading === false ? undefined : FENCING_NUMBER,
        held: {
            olderThan: ageMs => clock.nowMs() >= acceptedAtMs + ageMs ? [job] : [],
            has: (jobId: JobId) => disks.get("a")!.has(jobId),
            hold: ({ record }) => Promise.resolve(void disks.get("a")!.add(record.jobId)),
        },
        otherRunners: () => OTHERS.map(host => ({ host, port: 1 })),
        copies: () => opts.tolerableLosses + 1,
    });
    void copies.run(new AbortController().signal);
    const holders = () => [...disks].filter(([, jobs]) => jobs.has("j")).map(([name]) => name);
    const loseDisk = (name: string) => disks.get(name)!.clear();
    return { clock, holders, loseDisk, unreachable, approvals };
}

test("each copy of a held job that is lost is replaced, however many disks are lost one after another", async () => {
    for (const tolerableLosses of [1, 2]) {
        const { clock, holders, loseDisk, approvals } = setUp({
            tolerableLosses,
            holders: ["b", "c", "d"].slice(0, tolerableLosses + 1),
        });
        await clock.advance(REPLACED_MS);
        for (const lost of ["b", "c", "d", "a", "b", "c", "d", "a"]) {
            loseDisk(lost);
            await clock.advance(2 * ROUND_MS);
            assert.equal(
                holders().length >= tolerableLosses + 1,
                true,
                `after the loss of ${lost}: ${holders().join()}`,
            );
        }
        assert.deepEqual(new Set(approvals), new Set([FENCING_NUMBER]));
    }
});

test("a job with all of its copies gets no more, and a process that doesn't lead makes none", async () => {
    const whole = setUp({ tolerableLosses: 1, holders: ["a", "c"] });
    await whole.clock.advance(10 * ROUND_MS);
    assert.deepEqual(whole.holders(), ["a", "c"]);
    const other = setUp({ tolerableLosses: 1, holders: ["a"], isLeading: false });
    await other.clock.advance(10 * ROUND_MS);
    assert.deepEqual(other.holders(), ["a"]);
});

test("the copy of a runner that can't be reached is replaced too", async () => {
    const { clock, holders, unreachable } = setUp({ tolerableLosses: 1, holders: ["a", "b"] });
    unreachable.add("b");
    await clock.advance(REPLACED_MS);
    assert.deepEqual(holders(), ["a", "b", "c"]);
});
