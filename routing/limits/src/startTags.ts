/** Number of finish tags from which outdated ones are dropped. */
const MIN_PURGED_TAGS = 64;

/**
 * The virtual time of start-time fair queueing (Goyal, Vin and Cheng, 1996), and each team's finish tag in it. The team
 * with the lowest start tag is served next. A team gains no advantage from having been idle.
 */
export class StartTags<Key> {
    /** Virtual time at which each team's last item would be finished. */
    private readonly finishTags = new Map<Key, number>();
    /** The highest start tag that has been served. */
    private virtualTime = 0;
    private purgeSize = MIN_PURGED_TAGS;

    /** Returns the virtual time at which serving the team's next item would start. */
    startTagOf(key: Key): number {
        return Math.max(this.virtualTime, this.finishTags.get(key) ?? 0);
    }

    /**
     * Adds an item of a team to the virtual time.
     *
     * @param size cost of the item divided by the team's weight
     * @returns the item's start tag
     */
    assign(key: Key, size: number): number {
        const startTag = this.startTagOf(key);
        this.finishTags.set(key, startTag + size);
        this.purge();
        return startTag;
    }

    /** Advances the virtual time to the start tag of an item that is served. */
    advanceTo(startTag: number): void {
        this.virtualTime = Math.max(this.virtualTime, startTag);
    }

    clear(): void {
        this.finishTags.clear();
        this.virtualTime = 0;
    }

    /** Drops the tags that no longer delay their teams, whenever the number of tags has doubled. */
    private purge(): void {
        if (this.finishTags.size < this.purgeSize) {
            return;
        }
        [...this.finishTags]
            .filter(([, finishTag]) => finishTag <= this.virtualTime)
            .forEach(([key]) => this.finishTags.delete(key));
        this.purgeSize = Math.max(MIN_PURGED_TAGS, 2 * this.finishTags.size);
    }
}
