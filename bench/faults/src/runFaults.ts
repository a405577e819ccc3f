import { EtcdKeyValueService } from "@knapweedwood/adapters.key-value-etcd/etcdKeyValueService";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { expectedText } from "@knapweedwood/standins.engine/expectedText";
import { mkdtemp } from "node:fs/promises";
import { cpus, loadavg, tmpdir } from "node:os";
import path from "node:path";
import { ApiClient } from "./apiClient.js";
import { auditItems } from "./auditItems.js";
import { auditKeyedCalls } from "./auditKeyedCalls.js";
import { auditReceipts } from "./auditReceipts.js";
import { BatchJob } from "./batchJob.js";
import { FaultSchedule } from "./faultSchedule.js";
import type { FaultsOptions } from "./faultsOptions.js";
import type { FaultsPlan } from "./faultsPlan.js";
import type { FaultsReport } from "./faultsReport.js";
import { FaultsTestBed } from "./faultsTestBed.js";
import { KeyedCallers } from "./keyedCallers.js";
import { OwnershipProbe } from "./ownershipProbe.js";
import { RunRecords } from "./runRecords.js";

const DEFAULT_ITEM_COUNT = 20_000;
const DEFAULT_KEYED_CALL_COUNT = 2000;
const DEFAULT_SECONDS = 60;
const MS_PER_S = 1000;
const JOB_COUNT = 4;
const MAX_TOKENS = 4;

/** Runs jobs and keyed calls on real processes while faults are injected, and compares the results with what ran. */
export async function runFaults(opts: FaultsOptions = {}): Promise<FaultsReport> {
    const plan = await resolvePlan(opts);
    const bed = new FaultsTestBed(plan);
    try {
        await bed.start();
        return await runExperiment(plan, bed);
    }
    finally {
        await bed.stop();
    }
}

async function resolvePlan(opts: FaultsOptions): Promise<FaultsPlan> {
    return {
        seed: opts.seed ?? 1,
        faultsMs: (opts.seconds ?? DEFAULT_SECONDS) * MS_PER_S,
        itemCount: opts.itemCount ?? DEFAULT_ITEM_COUNT,
        receiptCount: opts.receiptCount ?? 0,
        keyedCallCount: opts.keyedCallCount ?? DEFAULT_KEYED_CALL_COUNT,
        folder: opts.folder ?? await mkdtemp(path.join(tmpdir(), "knapweed-faults-")),
    };
}

async function runExperiment(plan: FaultsPlan, bed: FaultsTestBed): Promise<FaultsReport> {
    const clock = new SystemClock();
    const random = new SeededRandom(plan.seed);
    const [loadBefore] = loadavg();
    const startedAtMs = clock.nowMs();
    const api = new ApiClient({ entryUrls: bed.entryUrls, key: bed.key, clock });
    const endpoint = "/v1/chat/completions";
    const chatBody = (marker: string) => ({
        model: bed.model,
        messages: [{ role: "user", content: `Assess lot ${marker}` }],
        max_tokens: MAX_TOKENS,
        metadata: { marker },
    });
    const receiptBody = (marker: string) => ({ receipt: marker });
    const jobs = Array.from({ length: JOB_COUNT }, (_, index) =>
        new BatchJob({
            api,
            clock,
            name: `lots-${index}`,
            endpoint,
            itemCount: Math.ceil(plan.itemCount / JOB_COUNT),
            bodyOf: chatBody,
        }));
    const receipts = new BatchJob({
        api,
        clock,
        name: "batch-receipts",
        endpoint: "/services/ledger/receipts",
        itemCount: plan.receiptCount,
        bodyOf: receiptBody,
    });
    const callers = new KeyedCallers({
        entryUrls: bed.entryUrls,
        key: bed.key,
        clock,
        random,
        meanIntervalMs: plan.faultsMs / plan.keyedCallCount,
    });
    const keyValue = new EtcdKeyValueService({ baseUrl: bed.keyValueUrl, clock });
    const schedule = new FaultSchedule({ bed, probe: new OwnershipProbe({ keyValue, clock }), clock, random });
    await Promise.all([
        ...[...jobs, receipts].filter(job => job.itemCount > 0).map(job => job.submit()),
        callers.run(plan.keyedCallCount),
        schedule.run(plan.faultsMs),
    ]);
    const finishedJobs = await Promise.all(jobs.map(async job => ({ job, lines: await job.finish() })));
    const receiptLines = receipts.itemCount > 0 ? await receipts.finish() : { output: [], errors: [] };
    const records = await RunRecords.read(bed);
    const [loadAfter] = loadavg();
    const figures = {
        seed: plan.seed,
        items: auditItems(
            finishedJobs,
            records,
            (marker, body) => contentOf(body) === expectedText({ endpoint, body: chatBody(marker) }),
        ),
        receipts: auditReceipts(receipts, receiptLines, records, receiptBody),
        keyedCalls: auditKeyedCalls(callers, records),
        recovery: schedule.recovery.summary(),
        faults: schedule.counts,
        durationMs: clock.nowMs() - startedAtMs,
        machine: { loadBefore, loadAfter, processors: cpus().length },
    };
    return { ...figures, holds: hasNoViolations(figures) };
}

function contentOf(body: { choices?: { message?: { content?: string; }; }[]; }): string | undefined {
    return body.choices?.[0]?.message?.content;
}

function hasNoViolations(figures: Omit<FaultsReport, "holds">): boolean {
    const { items, receipts, keyedCalls } = figures;
    return [
        items.lost,
        items.doubled,
        items.swapped,
        receipts.lost,
        receipts.ranTwice,
        keyedCalls.ranTwice,
        keyedCalls.notRunButRan,
    ].every(count => count === 0);
}
