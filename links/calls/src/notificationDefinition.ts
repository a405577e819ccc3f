/** Definition of a typed one-way message. The message may be lost when its link loses the connection. */
export interface NotificationDefinition<Message> {
    /** Name on the wire, such as `configuration.delta`. */
    readonly name: string;
    /** Carries the type; never set at run time. */
    readonly types?: { message: Message; };
}
