import { createHash } from "node:crypto";

/**
 * Orders `candidates` by their rendezvous score for `key`, highest first. Removing a candidate
 * moves only the keys that were assigned to it (Thaler and Ravishankar, 1998).
 *
 * @returns the candidates, shape [candidates.length]
 */
export function rendezvousRank<Candidate extends string>(key: string, candidates: readonly Candidate[]): Candidate[] {
    return candidates
        .map(candidate => ({ candidate, score: scoreOf(key, candidate) }))
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(ranked => ranked.candidate);
}

function scoreOf(key: string, candidate: string): number {
    return createHash("md5").update(key).update("\0").update(candidate).digest().readUIntBE(0, 6);
}
