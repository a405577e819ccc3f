import { createHash } from "node:crypto";

/** Points of each member on the ring. More points spread the keys more evenly over the members. */
const POINTS_PER_MEMBER = 16;

interface RingPoint<Member> {
    position: number;
    member: Member;
}

/**
 * Assigns keys to members by consistent hashing. A member that joins or leaves moves only its own share of the keys.
 * Finding the members of a key takes the logarithm of their number, unlike a rendezvous rank.
 */
export class HashRing<Member extends string> {
    private readonly points: RingPoint<Member>[];
    private readonly memberCount: number;

    /** @param members the members, shape [members] */
    constructor(members: readonly Member[]) {
        this.memberCount = new Set(members).size;
        this.points = members
            .flatMap(member =>
                Array.from({ length: POINTS_PER_MEMBER }, (_, index) => ({
                    position: positionOf(`${member} ${index}`),
                    member,
                }))
            )
            .sort((left, right) => left.position - right.position);
    }

    /** Returns the first `count` members for a key, or all if there are fewer, shape [members]. */
    membersOf(key: string, count: number): Member[] {
        const wanted = Math.min(count, this.memberCount);
        const found = new Set<Member>();
        const start = this.firstPointAfter(positionOf(key));
        for (let step = 0; found.size < wanted; step += 1) {
            found.add(this.points[(start + step) % this.points.length]!.member);
        }
        return [...found];
    }

    private firstPointAfter(position: number): number {
        let low = 0;
        let high = this.points.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.points[middle]!.position < position) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

function positionOf(text: string): number {
    return createHash("md5").update(text).digest().readUIntBE(0, 6);
}
