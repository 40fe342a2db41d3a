package org.jackdawsaddle.config;

/** A configuration object, identified by its type and name. */
public sealed interface NamedObject
        permits ServiceObject, TargetObject, JobKind, LimitObject, TeamObject {

    /** Returns the name, unique among the objects of the same type. */
    String name();
}
