import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { PullItemsRequest } from "@knapweedwood/batch.items/pullItemsRequest";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { compareRuns } from "./compareRuns.js";
import type { JobRun } from "./jobRun.js";
import type { PartitionOwner } from "./partitionOwner.js";
import type { TeamShares } from "./teamShares.js";

interface Candidate {
    owner: PartitionOwner;
    run: JobRun;
}

/** Selects the items for one pull. Items that may not be repeated are returned only after their claim is committed. */
export async function handOutItems(opts: {
    owners: PartitionOwner[];
    request: PullItemsRequest;
    peer: PeerIdentity;
    shares: TeamShares;
    nowMs: number;
}): Promise<BatchItem[]> {
    const candidates = opts.owners.flatMap(owner => owner.jobs().map(run => ({ owner, run })));
    await Promise.all(candidates.map(({ run }) => run.refill().catch(() => undefined)));
    const items = selectItems(candidates, opts);
    const claimed = await Promise.all(
        candidates.map(candidate =>
            commitClaims(
                candidate,
                opts.peer,
                items.filter(item => !item.repeatable && item.jobId === candidate.run.manifest.jobId),
            )
        ),
    );
    return [...items.filter(item => item.repeatable), ...claimed.flat()];
}

function selectItems(candidates: Candidate[], opts: Parameters<typeof handOutItems>[0]): BatchItem[] {
    const { request, peer, shares } = opts;
    const items: BatchItem[] = [];
    let runs = candidates.map(candidate => candidate.run);
    while (items.length < request.count && runs.length > 0) {
        const [run] = runs.toSorted((left, right) => compareRuns(left, right, opts));
        const item = run.take(request.service, peer);
        if (item === undefined) {
            runs = runs.filter(other => other !== run);
            continue;
        }
        shares.countItem(run.manifest.teamId);
        items.push(item);
    }
    return items;
}

async function commitClaims(candidate: Candidate, peer: PeerIdentity, items: BatchItem[]): Promise<BatchItem[]> {
    if (items.length === 0) {
        return [];
    }
    const { owner, run } = candidate;
    await owner.checkpoint(other => other === run).catch(() => false);
    const pending = new Set(run.pendingClaims);
    const isClaimed = (item: BatchItem) => !pending.has(item.itemIndex) && run.isAtGate(item, peer);
    run.requeue(items.filter(item => !isClaimed(item)), peer);
    return items.filter(isClaimed);
}
