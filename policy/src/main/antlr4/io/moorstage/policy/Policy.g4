// The policy language. Regenerate the parser with build-tools/generate-parser after a change.
// The grammar is not recursive, so that no text can exhaust the parser's stack.
grammar Policy;

policy : statement* EOF ;

statement
    : 'zones' NAME (',' NAME)* ';'    # zones
    | service                         # serviceStatement
    | route                           # routeStatement
    | unsupported                     # unsupportedStatement
    ;

service : 'service' NAME (UNSUPPORTED NUMBER)? ('at' ENDPOINT)? '{' serviceItem* '}' ;

serviceItem
    : flowSetting                                       # serviceFlowSetting
    | 'default' 'target' targetBody                     # defaultTarget
    | 'target' NAME (UNSUPPORTED NUMBER)? targetBody    # target
    | unsupported                                       # unsupportedServiceItem
    ;

route : 'route' ENDPOINT '{' routeItem* '}' ;

routeItem
    : flowSetting                          # routeFlowSetting
    | 'service' NAME WEIGHT NUMBER ';'     # share
    | unsupported                          # unsupportedRouteItem
    ;

flowSetting
    : 'class' requestClass ';'       # class
    | 'deadline' DURATION ';'        # deadline
    ;

requestClass : REPEATABLE | AT_MOST_ONCE | UNSUPPORTED ;

targetBody : '{' targetSetting* '}' ;

targetSetting
    : 'zone' NAME ';'             # zone
    | 'slots' NUMBER ';'          # slots
    | 'connections' NUMBER ';'    # connections
    | WEIGHT NUMBER ';'           # targetWeight
    | unsupported                 # unsupportedTargetSetting
    ;

// Parses, so that the compiler can refuse each such statement by name and go on.
unsupported : UNSUPPORTED ~(';' | '{' | '}')* (';' | '{' ~('{' | '}')* '}') ;

// What forwarding does not do: it moves packets and never looks into a request.
UNSUPPORTED
    : 'ports' | 'buckets' | 'limit' | 'retries' | 'shed' | 'id' | 'idempotent'
    | 'default' BLANKS 'route'
    | 'route' BLANKS METHOD
    ;

SEMICOLON : ';' ;
RIGHT_BRACE : '}' ;
WEIGHT : 'weight' ;
REPEATABLE : 'repeatable' ;
AT_MOST_ONCE : 'at-most-once' ;
ENDPOINT : DIGITS '.' DIGITS '.' DIGITS '.' DIGITS ':' DIGITS ;
DURATION : DIGITS ('ms' | 's' | 'm') ;
NUMBER : DIGITS ;
NAME : [A-Za-z] [A-Za-z0-9_-]* ;
COMMENT : '#' ~[\r\n]* -> channel(HIDDEN) ;
WHITE_SPACE : [ \t\r\n]+ -> skip ;
// Takes what no other rule does, so that the parser reports it like any unexpected word.
UNKNOWN_CHARACTER : . ;

fragment DIGITS : [0-9]+ ;
fragment BLANKS : [ \t]+ ;
fragment METHOD : 'GET' | 'FETCH' | 'POST' | 'PUT' | 'DELETE' | 'PATCH' | 'iPATCH' | '*' ;
